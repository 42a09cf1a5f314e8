package loomreel.program.harness;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Reads and writes HTTP/1.1 messages on blocking sockets, for stub servers and test clients. */
public final class HttpIo {
  /**
   * The maximum time, in milliseconds, that most methods of this package wait for an event. If the
   * event does not occur within this time, the test fails.
   */
  public static final int TIMEOUT_MILLIS = 30_000;

  private static final String END_OF_HEAD = "\r\n\r\n";

  private HttpIo() {}

  /** Returns the IPv4 loopback address. */
  static InetAddress loopback() throws IOException {
    return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
  }

  /** Returns a text of these lines. Each line, including the last, is followed by CR LF. */
  public static String lines(String... lines) {
    StringBuilder text = new StringBuilder();
    for (String line : lines) {
      text.append(line).append("\r\n");
    }
    return text.toString();
  }

  /**
   * Opens a connection to a port on the loopback address. A read from the connection times out
   * after {@link #TIMEOUT_MILLIS}.
   */
  public static Socket connect(int port) throws IOException {
    Socket socket = new Socket(loopback(), port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  /** Writes text to a connection. The encoding is ISO 8859-1, which has one byte per character. */
  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /**
   * Returns the text of a complete request. This method adds the Content-Length header and the
   * empty line between the headers and the body.
   *
   * @param head the request line and the other headers, each followed by CR LF, without the empty
   *     line
   * @param body the body, in which each character stands for one byte
   */
  public static String withBody(String head, String body) {
    return head + "Content-Length: " + body.length() + END_OF_HEAD + body;
  }

  /**
   * Reads the next message from a connection. A message without a Content-Length header has an
   * empty body. If the connection ends within the body, the body is incomplete.
   *
   * @return the message, or null if the connection ends before the empty line after the headers is
   *     read completely
   */
  public static HttpMessage read(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream headBytes = new ByteArrayOutputStream();
    while (!headBytes.toString(StandardCharsets.ISO_8859_1).endsWith(END_OF_HEAD)) {
      int nextByte = in.read();
      if (nextByte < 0) {
        return null;
      }
      headBytes.write(nextByte);
    }
    String head = headBytes.toString(StandardCharsets.ISO_8859_1);
    String startLine = head.substring(0, head.indexOf("\r\n"));
    String length = new HttpMessage(startLine, head, "", socket).header("Content-Length");
    byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
    return new HttpMessage(startLine, head, new String(body, StandardCharsets.UTF_8), socket);
  }
}
