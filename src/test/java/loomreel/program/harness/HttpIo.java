package loomreel.program.harness;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Plain blocking HTTP/1.1 over sockets, for stub servers and test clients. */
public final class HttpIo {
  /** The longest wait for anything; a test that waits this long has failed. */
  public static final int TIMEOUT_MILLIS = 30_000;

  private static final String END_OF_HEAD = "\r\n\r\n";

  private HttpIo() {}

  /** The IPv4 loopback address. */
  static InetAddress loopback() throws IOException {
    return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
  }

  /** Lines of a message, each with its line break. */
  public static String lines(String... lines) {
    StringBuilder text = new StringBuilder();
    for (String line : lines) {
      text.append(line).append("\r\n");
    }
    return text.toString();
  }

  /** Connects to a port of this machine; reads time out after {@link #TIMEOUT_MILLIS}. */
  public static Socket connect(int port) throws IOException {
    Socket socket = new Socket(loopback(), port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  /** Writes text to a connection, one byte a character. */
  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** A request head and body; the head lacks its Content-Length and ends with a line break. */
  public static String withBody(String head, String body) {
    return head + "Content-Length: " + body.length() + END_OF_HEAD + body;
  }

  /** Reads the next message; null at the end of the connection. */
  public static HttpMessage read(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith(END_OF_HEAD)) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      bytes.write(next);
    }
    String head = bytes.toString(StandardCharsets.ISO_8859_1);
    String startLine = head.substring(0, head.indexOf("\r\n"));
    String length = new HttpMessage(startLine, head, "", socket).header("Content-Length");
    byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
    return new HttpMessage(startLine, head, new String(body, StandardCharsets.UTF_8), socket);
  }
}
