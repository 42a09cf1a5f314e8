package loomreel.program.harness;

import java.io.IOException;
import java.net.Socket;
import java.util.Locale;

/**
 * An HTTP request or response that was received.
 *
 * @param startLine the request line or status line
 * @param head the start line, the headers and the empty line after the headers, as received
 * @param body the body; empty if there was no Content-Length header
 * @param connection the connection on which the message was received, and to which {@link #respond}
 *     writes
 */
public record HttpMessage(String startLine, String head, String body, Socket connection) {
  /**
   * Returns the value of the first header with this name, or null if there is no header with this
   * name. The case of the name does not matter.
   */
  public String header(String name) {
    String prefix = name.toLowerCase(Locale.ROOT) + ":";
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
        .map(line -> line.substring(prefix.length()).strip())
        .findFirst()
        .orElse(null);
  }

  /** Returns the status code of this message, which must be a response. */
  public int status() {
    return Integer.parseInt(startLine.split(" ", -1)[1]);
  }

  /**
   * Writes a response to this message, which must be a request.
   *
   * @param body the body, in which each character stands for one byte
   * @param headers the headers other than Content-Length, each a line without its line break
   */
  public void respond(int status, String body, String... headers) throws IOException {
    StringBuilder text =
        new StringBuilder("HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length());
    for (String header : headers) {
      text.append("\r\n").append(header);
    }
    HttpIo.write(connection, text + "\r\n\r\n" + body);
  }
}
