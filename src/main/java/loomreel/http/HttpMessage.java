package loomreel.http;

import java.util.List;
import loomreel.io.ByteQueue;

/**
 * A complete request or response.
 *
 * @param startLine the parts of the start line: method, target and version of a request; version,
 *     status and, if present, reason of a response
 * @param headers alternating names, in lower case, and values
 * @param body the content; owned by whoever holds the message, and to be released by it
 * @param keepAlive whether the connection may carry another message
 */
public record HttpMessage(
    List<String> startLine, List<String> headers, ByteQueue body, boolean keepAlive) {
  /** The method of a request. */
  public String method() {
    return startLine.get(0);
  }

  /** Path and query of a request, unchanged. */
  public String target() {
    return startLine.get(1);
  }

  /** The status of a response. */
  public int status() {
    return Integer.parseInt(startLine.get(1));
  }

  /** Whether the status of a response is 2xx. */
  boolean isSuccessful() {
    return HttpStatus.isSuccessful(status());
  }

  /** The value of the first header with that name, in lower case; null if there is none. */
  public String header(String name) {
    return find(headers, name);
  }

  /** The value of a name in a list of names and values; null if there is none. */
  static String find(List<String> headers, String name) {
    for (int i = 0; i < headers.size(); i += 2) {
      if (headers.get(i).equals(name)) {
        return headers.get(i + 1);
      }
    }
    return null;
  }
}
