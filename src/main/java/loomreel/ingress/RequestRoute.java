package loomreel.ingress;

import java.util.Set;

/**
 * The kind of a request, by its path.
 *
 * @param requestClass the name of a job's request class; the first segment of the path otherwise
 */
record RequestRoute(Kind kind, String requestClass) {
  /** The kinds of requests. */
  enum Kind {
    /** Whether clients should use this process. */
    READINESS_CHECK,
    /** A worker's job status update (callback). */
    STATUS_UPDATE,
    /** A job of a client. */
    JOB,
    /** None of these. */
    UNKNOWN
  }

  private static final String READINESS_PATH = "/health/ready";
  private static final String STATUS_UPDATE_PATH = "/_jobs/news";

  /**
   * Finds the route of a request.
   *
   * @param target path and query as received
   * @param requestClasses the names of the classes that jobs may have
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
