package loomreel.ingress;

import java.util.Set;

/**
 * The route of a request, which is determined by the path.
 *
 * @param kind the kind of the request
 * @param requestClass the first segment of the path; if the request is a job, this is the name of
 *     the request class of the job
 */
record RequestRoute(Kind kind, String requestClass) {
  /** The kinds of requests. */
  enum Kind {
    /** The readiness check, which determines whether clients should use this process. */
    READINESS_CHECK,
    /** A job status update (callback) of a worker. */
    STATUS_UPDATE,
    /** A request of a client that submits a job. */
    JOB,
    /** Any other request. */
    UNKNOWN
  }

  private static final String READINESS_PATH = "/health/ready";
  private static final String STATUS_UPDATE_PATH = "/_jobs/news";

  /**
   * Returns the route of a request.
   *
   * @param target the path and query of the request, as received
   * @param requestClasses the names of all request classes
   */
  static RequestRoute of(String target, Set<String> requestClasses) {
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    String firstSegment = firstSegment(path);
    Kind kind =
        switch (path) {
          case READINESS_PATH -> Kind.READINESS_CHECK;
          case STATUS_UPDATE_PATH -> Kind.STATUS_UPDATE;
          default -> requestClasses.contains(firstSegment) ? Kind.JOB : Kind.UNKNOWN;
        };
    return new RequestRoute(kind, firstSegment);
  }

  private static String firstSegment(String path) {
    int end = path.indexOf('/', 1);
    return path.substring(1, end < 0 ? path.length() : end);
  }
}
