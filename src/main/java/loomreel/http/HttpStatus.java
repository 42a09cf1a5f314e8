package loomreel.http;

/** The status codes of HTTP (RFC 9110, section 15) that this program sends or treats specially. */
public final class HttpStatus {
  public static final int OK = 200;
  public static final int ACCEPTED = 202;
  public static final int NO_CONTENT = 204;
  public static final int NOT_MODIFIED = 304;
  public static final int BAD_REQUEST = 400;
  public static final int NOT_FOUND = 404;
  public static final int METHOD_NOT_ALLOWED = 405;
  public static final int REQUEST_TIMEOUT = 408;
  public static final int CONFLICT = 409;
  public static final int CONTENT_TOO_LARGE = 413;
  public static final int HEADER_FIELDS_TOO_LARGE = 431;
  public static final int INTERNAL_SERVER_ERROR = 500;
  public static final int NOT_IMPLEMENTED = 501;
  public static final int SERVICE_UNAVAILABLE = 503;
  public static final int GATEWAY_TIMEOUT = 504;
  public static final int VERSION_NOT_SUPPORTED = 505;

  private HttpStatus() {}

  /** Whether a status is that of an interim response. */
  static boolean isInformational(int status) {
    return statusClass(status) == 1;
  }

  /** Whether a status means that the request was processed. */
  static boolean isSuccessful(int status) {
    return statusClass(status) == 2;
  }

  /** Whether a status means that the request was invalid. */
  public static boolean isClientError(int status) {
    return statusClass(status) == 4;
  }

  /** The first digit of a status. */
  private static int statusClass(int status) {
    return status / 100;
  }
}
