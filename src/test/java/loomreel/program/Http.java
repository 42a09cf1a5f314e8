package loomreel.program;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.standin.BackgroundThreads;

/** Plain blocking HTTP for tests: what clients, copy workers and discovery say and hear. */
final class Http {
  /** Long enough for any machine; a test that waits this long has failed. */
  static final int PATIENCE_MS = 30_000;

  private Http() {}

  /** A message as it came, with the connection it came on. */
  record Message(String first, String head, String body, Socket from) {
    String header(String name) {
      return head.lines()
          .filter(l -> l.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":"))
          .map(l -> l.substring(name.length() + 1).strip())
          .findFirst()
          .orElse(null);
    }

    int status() {
      return Integer.parseInt(first.split(" ", -1)[1]);
    }

    void answer(int status, String body, String... headers) throws IOException {
      StringBuilder text =
          new StringBuilder("HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length());
      for (String header : headers) {
        text.append("\r\n").append(header);
      }
      write(from, text + "\r\n\r\n" + body);
    }
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** The next message, or null at the end of the connection. */
  static Message read(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      head.write(next);
    }
    String text = head.toString(StandardCharsets.ISO_8859_1);
    Message bare = new Message(text.substring(0, text.indexOf("\r\n")), text, "", socket);
    int length =
        bare.header("Content-Length") == null ? 0 : Integer.parseInt(bare.header("Content-Length"));
    return new Message(
        bare.first(), text, new String(in.readNBytes(length), StandardCharsets.UTF_8), socket);
  }

  /** A place that listens, as a copy worker or as discovery; the test answers what comes. */
  static final class Peer implements AutoCloseable {
    final ServerSocket listener;
    private final BlockingQueue<Message> requests = new LinkedBlockingQueue<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final BlockingQueue<Socket> ended = new LinkedBlockingQueue<>();

    Peer() throws IOException {
      this(0);
    }

    /** One at a port where another one was; 0 for any. */
    Peer(int port) throws IOException {
      listener =
          StalledListener.bound(
              new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port), 50);
      BackgroundThreads.start(
          () -> {
            while (true) {
              Socket socket = listener.accept();
              connections.incrementAndGet();
              BackgroundThreads.start(
                  () -> {
                    for (Message m = read(socket); m != null; m = read(socket)) {
                      requests.add(m);
                    }
                    ended.add(socket);
                  });
            }
          });
    }

    InetSocketAddress at() {
      return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    Message next() throws InterruptedException {
      Message next = requests.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
      if (next == null) {
        throw new AssertionError("nothing was asked of " + address());
      }
      return next;
    }

    /** Waits until the other side has closed this connection. */
    void awaitEnd(Socket socket) throws InterruptedException {
      for (Socket next = ended.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
          next != socket;
          next = ended.poll(PATIENCE_MS, TimeUnit.MILLISECONDS)) {
        if (next == null) {
          throw new AssertionError("the connection stays open");
        }
      }
    }

    /**
     * Listens no more; from now on no connection comes up at its address before the test lets it.
     */
    StalledListener lateFromNowOn() throws IOException {
      InetSocketAddress at = at();
      listener.close();
      return new StalledListener(at);
    }

    void forget() {
      connections.set(0);
    }

    /** How many connections have come since the last time that they were forgotten. */
    int connections() {
      return connections.get();
    }

    /** Whether a job lies here that nobody has looked at. */
    boolean posted() {
      return requests.stream().anyMatch(r -> r.first().startsWith("POST"));
    }

    boolean wasAsked() {
      return !requests.isEmpty();
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }
}
