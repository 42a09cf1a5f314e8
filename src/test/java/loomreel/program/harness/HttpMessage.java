package loomreel.program.harness;

import java.io.IOException;
import java.net.Socket;
import java.util.Locale;

/**
 * An HTTP request or response as it was received.
 *
 * @param startLine the request line or status line
 * @param head the bytes up to and including the empty line, the start line among them
 * @param connection where it was received, and where a request is answered
 */
public record HttpMessage(String startLine, String head, String body, Socket connection) {
  /** The value of the first header of this name in any case, or null without one. */
  public String header(String name) {
    String prefix = name.toLowerCase(Locale.ROOT) + ":";
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
        .map(line -> line.substring(prefix.length()).strip())
        .findFirst()
        .orElse(null);
  }

  /** The status code of a response. */
  public int status() {
    return Integer.parseInt(startLine.split(" ", -1)[1]);
  }

  /** Writes a response to this request; each of {@code headers} is a complete line. */
  public void respond(int status, String body, String... headers) throws IOException {
    StringBuilder text =
        new StringBuilder("HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length());
    for (String header : headers) {
      text.append("\r\n").append(header);
    }
    HttpIo.write(connection, text + "\r\n\r\n" + body);
  }
}
