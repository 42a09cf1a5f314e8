package loomreel.admin;

import java.util.Optional;

/** The requests that operators can send. Each route has an HTTP method and a path. */
enum AdminRoute {
  /** Returns status 200 if the process is ready, and status 503 otherwise. */
  READINESS("GET", "/ops/readiness"),
  /** Returns the metrics as JSON. */
  STATS("GET", "/ops/stats"),
  /** Disables a worker, so that it receives no more jobs. The body is the worker's id. */
  DISABLE_WORKER("POST", "/ops/copy-workers/down"),
  /** Enables a disabled worker, so that it receives jobs again. The body is the worker's id. */
  ENABLE_WORKER("POST", "/ops/copy-workers/up"),
  /** Starts a client drain, which directs clients to other dispatchers. */
  START_DRAIN("POST", "/ops/drain/start"),
  /** Stops the client drain, so that clients are no longer directed to other dispatchers. */
  STOP_DRAIN("POST", "/ops/drain/stop");

  private final String method;
  private final String path;

  AdminRoute(String method, String path) {
    this.method = method;
    this.path = path;
  }

  /** Returns the route whose path is equal to a request target, or empty if there is none. */
  static Optional<AdminRoute> of(String target) {
    for (AdminRoute route : values()) {
      if (route.path.equals(target)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the only HTTP method that is allowed for the path. */
  String method() {
    return method;
  }

  String path() {
    return path;
  }
}
