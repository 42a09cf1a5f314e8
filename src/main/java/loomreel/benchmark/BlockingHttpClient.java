package loomreel.benchmark;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * One HTTP connection of a benchmark's client. It does as little as possible, so that HTTP is
 * measured at the same cost as Faktory. For one thread at a time.
 */
final class BlockingHttpClient implements Closeable {
  private final Socket socket = new Socket();
  private final InputStream in;

  BlockingHttpClient(InetSocketAddress server) throws IOException {
    socket.connect(server);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /**
   * Submits a job and reads its response.
   *
   * @throws IOException if the response is not a success
   */
  void submit(String path, long id) throws IOException {
    socket
        .getOutputStream()
        .write(
            ("POST "
                    + path
                    + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: "
                    + HexFormat.of().toHexDigits(id)
                    + "\r\nX-Budget-Ms: 5000\r\nContent-Length: 1\r\n\r\nc")
                .getBytes(StandardCharsets.US_ASCII));
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        throw new IOException("the connection was closed before the response");
      }
      head.append((char) b);
    }
    if (!head.toString().startsWith("HTTP/1.1 200")) {
      throw new IOException(head.toString());
    }
    String length = head.toString().replaceFirst("(?s).*Content-Length: (\\d+).*", "$1");
    in.readNBytes(Integer.parseInt(length));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
