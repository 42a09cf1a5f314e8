import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A connection of a Faktory client or worker, protocol version 2 without a password. */
final class Faktory implements Closeable {
  private final Socket socket = new Socket();
  private final InputStream in;

  /**
   * Connects.
   *
   * @param wid the id of a worker's process, or null for a client
   */
  Faktory(int port, String wid) throws IOException {
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(30_000);
    in = new BufferedInputStream(socket.getInputStream());
    try {
      read();
      String who = wid == null ? "" : ",\"wid\":\"" + wid + "\",\"labels\":[]";
      String reply = call("HELLO {\"hostname\":\"standin\",\"pid\":1,\"v\":2" + who + "}");
      if (!"OK".equals(reply)) {
        throw new IOException("HELLO: " + reply);
      }
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Sends a command and returns its reply; an error begins with "ERR", no value is null. */
  synchronized String call(String command) throws IOException {
    socket.getOutputStream().write((command + "\r\n").getBytes(StandardCharsets.UTF_8));
    return read();
  }

  private String read() throws IOException {
    String line = line();
    String rest = line.substring(1);
    switch (line.charAt(0)) {
      case '+':
        return rest;
      case '-':
        return "ERR " + rest;
      case '$':
        int length = Integer.parseInt(rest);
        if (length < 0) {
          return null;
        }
        byte[] value = in.readNBytes(length + 2);
        if (value.length < length + 2) {
          throw new EOFException();
        }
        return new String(value, 0, length, StandardCharsets.UTF_8);
      default:
        throw new IOException("unknown reply: " + line);
    }
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    if (line.length() == 0) {
      throw new IOException("an empty reply");
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** The text in a field of a JSON object, or an empty text. */
  static String field(String json, String name) {
    Matcher field = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(json);
    return field.find() ? field.group(1) : "";
  }

  /** A port that is free now. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
