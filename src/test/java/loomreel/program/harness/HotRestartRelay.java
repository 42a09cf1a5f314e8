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
 * A relay between an old dispatcher process and its successor. It forwards the messages of a hot
 * restart in both directions, can hold them back, and queues the forwarded messages for the test.
 */
public final class HotRestartRelay implements AutoCloseable {
  /** The process that sends a message. */
  public enum Sender {
    OLD("old "),
    NEW("new ");

    private final String transcriptName;

    Sender(String transcriptPrefix) {
      transcriptName = transcriptPrefix + Transcript.PROGRAM;
    }

    private Sender receiver() {
      return this == OLD ? NEW : OLD;
    }
  }

  private static final CountDownLatch OPEN_GATE = new CountDownLatch(0);

  private final ServerSocket listener;
  private final BlockingQueue<HttpMessage> fromOld = new LinkedBlockingQueue<>();
  private final BlockingQueue<HttpMessage> fromNew = new LinkedBlockingQueue<>();

  /** The gates by sender. A sender's messages are forwarded while its gate is open (count 0). */
  private final Map<Sender, CountDownLatch> gates = new ConcurrentHashMap<>();

  /**
   * Starts a relay in front of the old process. Overwrites the port in the file with the port of
   * the relay, so that a successor that starts later connects to the relay.
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
   * Holds back the messages that a process sends from now on, until {@link #release} is called for
   * this process.
   */
  public void hold(Sender sender) {
    gates.put(sender, new CountDownLatch(1));
  }

  /** Forwards the messages of a process that are held back, and all of its later messages. */
  public void release(Sender sender) {
    gates.getOrDefault(sender, OPEN_GATE).countDown();
    gates.put(sender, OPEN_GATE);
  }

  /**
   * Waits for the next forwarded message of a process and removes it from the queue.
   *
   * @throws AssertionError after {@link HttpIo#TIMEOUT_MILLIS}
   */
  public HttpMessage receive(Sender sender) throws InterruptedException {
    HttpMessage message =
        forwardedMessages(sender).poll(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (message == null) {
      throw new AssertionError("no message from the process " + sender);
    }
    return message;
  }

  /** Waits for the next forwarded message of a process and adds it to a transcript. */
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
