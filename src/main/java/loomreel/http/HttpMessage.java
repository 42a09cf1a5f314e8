package loomreel.http;

import java.util.List;
import loomreel.io.ByteQueue;

/**
 * A complete request or response.
 *
 * @param startLine the parts of the start line: method, target and version of a request; version,
 *     status code and, if present, reason phrase of a response
 * @param headers alternating names, in lower case, and values of the headers that this program
 *     reads
 * @param body the content; whoever owns the message owns the body and must release it
 * @param keepAlive whether the connection may carry another message after this one
 */
public record HttpMessage(
    List<String> startLine, List<String> headers, ByteQueue body, boolean keepAlive) {
  /** Returns the method of a request. */
  public String method() {
    return startLine.get(0);
  }

  /** Returns the path and the query of a request, as they were received. */
  public String target() {
    return startLine.get(1);
  }

  /** Returns the status code of a response. */
  public int status() {
    return Integer.parseInt(startLine.get(1));
  }

  /** Returns whether the status code of a response is 2xx. */
  boolean isSuccessful() {
    return HttpStatus.isSuccessful(status());
  }

  /**
   * Returns the value of the first header with the given name, or null if there is no such header.
   *
   * @param name the name in lower case
   */
  public String header(String name) {
    return findHeader(headers, name);
  }

  /**
   * Returns the value of the first header with the given name, or null if there is no such header.
   *
   * @param headers alternating names, in lower case, and values
   * @param name the name in lower case
   */
  static String findHeader(List<String> headers, String name) {
    for (int i = 0; i < headers.size(); i += 2) {
      if (headers.get(i).equals(name)) {
        return headers.get(i + 1);
      }
    }
    return null;
  }
}
