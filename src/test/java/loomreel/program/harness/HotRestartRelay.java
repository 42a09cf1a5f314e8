package loomreel.program.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loomreel.standin.BackgroundThreads;

/**
 * A relay between an old dispatcher process and its successor. During a hot restart, both processes
 * exchange messages over a connection. The relay forwards these messages in both directions, and
 * the test can make it hold messages back. The relay also keeps a copy of each forwarded message in
 * a queue, from which the test reads the messages.
 */
public final class HotRestartRelay implements AutoCloseable {
  /** The process that sends a message. */
  public enum Sender {
    OLD("old "),
    NEW("new ");

    /** The name of the process in a {@link Transcript}, for example "old loomreel". */
    private final String transcriptName;

    /**
     * Creates a sender.
     *
     * @param transcriptPrefix the start of {@link #transcriptName}, with a trailing space; the name
     *     of the program follows
     */
    Sender(String transcriptPrefix) {
      transcriptName = transcriptPrefix + Transcript.PROGRAM;
    }

    private Sender receiver() {
      return this == OLD ? NEW : OLD;
    }
  }

  /** A gate that does not hold messages back, because its count is 0. */
  private static final CountDownLatch OPEN_GATE = new CountDownLatch(0);

  private final ServerSocket listener;
  private final BlockingQueue<HttpMessage> fromOld = new LinkedBlockingQueue<>();
  private final BlockingQueue<HttpMessage> fromNew = new LinkedBlockingQueue<>();

  /** The gates by sender. The messages of a sender are forwarded while its gate has count 0. */
  private final Map<Sender, CountDownLatch> gates = new ConcurrentHashMap<>();

  /**
   * Starts a relay. Reads the port of the old process from a file, and overwrites the file with the
   * port of the relay. A successor that starts later therefore connects to the relay, and the relay
   * then connects to the old process. The relay accepts only one connection.
   *
   * @param portFile the file in which the old process has stored its hot-restart port
   */
  public HotRestartRelay(Path portFile) throws IOException {
    release(Sender.OLD);
    release(Sender.NEW);
    InetAddress loopback = HttpIo.loopback();
    listener = new ServerSocket(0, 1, loopback);
    int oldPort = Integer.parseInt(Files.readString(portFile).strip());
    Files.writeString(portFile, Integer.toString(listener.getLocalPort()));
    BackgroundThreads.start(
        () -> {
          Socket newConnection = listener.accept();
          Socket oldConnection = new Socket(loopback, oldPort);
          BackgroundThreads.start(() -> forward(oldConnection, newConnection, Sender.OLD));
          BackgroundThreads.start(() -> forward(newConnection, oldConnection, Sender.NEW));
        });
  }

  private void forward(Socket from, Socket to, Sender sender)
      throws IOException, InterruptedException {
    HttpMessage message = HttpIo.read(from);
    while (message != null) {
      gates.get(sender).await();
      HttpIo.write(to, message.head() + message.body());
      forwardedMessages(sender).add(message);
      message = HttpIo.read(from);
    }
    to.shutdownOutput();
  }

  private BlockingQueue<HttpMessage> forwardedMessages(Sender sender) {
    return sender == Sender.OLD ? fromOld : fromNew;
  }

  /**
   * Holds back the messages that the relay receives from a process after this call, until {@link
   * #release} is called for the same process.
   */
  public void hold(Sender sender) {
    gates.put(sender, new CountDownLatch(1));
  }

  /**
   * Stops holding back the messages of a process. The relay forwards the messages that it held
   * back, and forwards later messages when it receives them. Has no effect if the messages of this
   * process are not held back.
   */
  public void release(Sender sender) {
    gates.getOrDefault(sender, OPEN_GATE).countDown();
    gates.put(sender, OPEN_GATE);
  }

  /**
   * Waits until the relay has forwarded a message of a process, and removes the first such message
   * from the queue.
   *
   * @throws AssertionError if no message is forwarded within {@link HttpIo#TIMEOUT_MILLIS}
   */
  public HttpMessage receive(Sender sender) throws InterruptedException {
    HttpMessage message =
        forwardedMessages(sender).poll(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (message == null) {
      throw new AssertionError("no message from the process " + sender);
    }
    return message;
  }

  /** Waits for a message as {@link #receive(Sender)} does, and adds it to a transcript. */
  public void receive(Transcript transcript, Sender sender) throws InterruptedException {
    HttpMessage message = receive(sender);
    transcript.add(
        sender.transcriptName, sender.receiver().transcriptName, message.head() + message.body());
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
