package loomreel.http;

/**
 * The HTTP status codes that this program sends or handles specially. They are defined in RFC 9110,
 * section 15, except for 431, which is defined in RFC 6585.
 */
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

  /** Returns whether a status code is that of an interim response (1xx). */
  static boolean isInformational(int status) {
    return statusClass(status) == 1;
  }

  /** Returns whether a status code means that the request was successful (2xx). */
  static boolean isSuccessful(int status) {
    return statusClass(status) == 2;
  }

  /** Returns whether a status code reports an error of the client (4xx). */
  public static boolean isClientError(int status) {
    return statusClass(status) == 4;
  }

  /** Returns the first digit of a status code. */
  private static int statusClass(int status) {
    return status / 100;
  }
}
