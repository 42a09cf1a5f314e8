package loomreel.http;

import java.util.Map;

/** Formats the heads of HTTP/1.1 requests and responses. */
public final class HttpHeaders {
  /** Passed as the length of the body if the head must not have a Content-Length header. */
  private static final int NO_LENGTH = -1;

  private static final Map<Integer, String> REASON_PHRASES =
      Map.ofEntries(
          Map.entry(HttpStatus.OK, "OK"),
          Map.entry(HttpStatus.BAD_REQUEST, "Bad Request"),
          Map.entry(HttpStatus.NOT_FOUND, "Not Found"),
          Map.entry(HttpStatus.METHOD_NOT_ALLOWED, "Method Not Allowed"),
          Map.entry(HttpStatus.REQUEST_TIMEOUT, "Request Timeout"),
          Map.entry(HttpStatus.CONFLICT, "Conflict"),
          Map.entry(HttpStatus.CONTENT_TOO_LARGE, "Content Too Large"),
          Map.entry(HttpStatus.HEADER_FIELDS_TOO_LARGE, "Request Header Fields Too Large"),
          Map.entry(HttpStatus.INTERNAL_SERVER_ERROR, "Internal Server Error"),
          Map.entry(HttpStatus.NOT_IMPLEMENTED, "Not Implemented"),
          Map.entry(HttpStatus.SERVICE_UNAVAILABLE, "Service Unavailable"),
          Map.entry(HttpStatus.VERSION_NOT_SUPPORTED, "HTTP Version Not Supported"));

  private HttpHeaders() {}

  /**
   * Returns the head of a response, including the empty line that ends the head.
   *
   * @param length the length of the body, in bytes
   * @param headers further header lines, without their line ends
   */
  public static String response(int status, int length, String... headers) {
    return appendHeaders(
        new StringBuilder("HTTP/1.1 ")
            .append(status)
            .append(' ')
            .append(REASON_PHRASES.getOrDefault(status, "")),
        length,
        headers);
  }

  /**
   * Returns the head of a request, including the empty line that ends the head. If the body is
   * empty and the method is not POST, the head has no Content-Length header.
   *
   * @param host the value of the Host header
   * @param length the length of the body, in bytes
   * @param headers further header lines, without their line ends
   */
  public static String request(
      String method, String target, String host, int length, String... headers) {
    return appendHeaders(
        new StringBuilder(method)
            .append(' ')
            .append(target)
            .append(" HTTP/1.1\r\nHost: ")
            .append(host),
        length == 0 && !method.equals("POST") ? NO_LENGTH : length,
        headers);
  }

  private static String appendHeaders(StringBuilder head, int length, String... headers) {
    for (String header : headers) {
      head.append("\r\n").append(header);
    }
    if (length != NO_LENGTH) {
      head.append("\r\nContent-Length: ").append(length);
    }
    return head.append("\r\n\r\n").toString();
  }
}
