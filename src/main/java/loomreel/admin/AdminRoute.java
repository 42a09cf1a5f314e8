package loomreel.admin;

import java.util.Optional;

/** The requests that operators can send, each with its method and path. */
enum AdminRoute {
  /** Reports whether the process is ready: status 200 or 503. */
  READINESS("GET", "/ops/readiness"),
  /** Returns the metrics as JSON. */
  STATS("GET", "/ops/stats"),
  /** Disables the worker whose id is the body, so that it receives no more jobs. */
  DISABLE_WORKER("POST", "/ops/copy-workers/down"),
  /** Enables the worker whose id is the body, so that it receives jobs again. */
  ENABLE_WORKER("POST", "/ops/copy-workers/up"),
  /** Starts a client drain, which directs clients to other dispatchers. */
  START_DRAIN("POST", "/ops/drain/start"),
  /** Stops the client drain, so that clients are accepted again. */
  STOP_DRAIN("POST", "/ops/drain/stop");

  private final String method;
  private final String path;

  AdminRoute(String method, String path) {
    this.method = method;
    this.path = path;
  }

  /** Returns the route whose path equals a request target, or empty if there is none. */
  static Optional<AdminRoute> of(String target) {
    for (AdminRoute route : values()) {
      if (route.path.equals(target)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the only method that is allowed. */
  String method() {
    return method;
  }

  String path() {
    return path;
  }
}
