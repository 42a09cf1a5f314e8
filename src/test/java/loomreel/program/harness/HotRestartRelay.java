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
 * A relay on the hot-restart link between an old process and its successor; it records messages.
 */
public final class HotRestartRelay implements AutoCloseable {
  /** The end of the link that a message comes from. */
  public enum Sender {
    OLD("old "),
    NEW("new ");

    private final String nameInTranscript;

    Sender(String prefix) {
      nameInTranscript = prefix + Transcript.PROGRAM;
    }

    private Sender other() {
      return this == OLD ? NEW : OLD;
    }
  }

  private static final CountDownLatch OPEN = new CountDownLatch(0);

  private final ServerSocket listener;
  private final BlockingQueue<HttpMessage> fromOld = new LinkedBlockingQueue<>();
  private final BlockingQueue<HttpMessage> fromNew = new LinkedBlockingQueue<>();

  /** Messages of a sender pass while its gate is open, that is at zero. */
  private final Map<Sender, CountDownLatch> gates = new ConcurrentHashMap<>();

  /** Takes the place of the old process, whose port this file holds. */
  public HotRestartRelay(Path portFile) throws IOException {
    release(Sender.OLD);
    release(Sender.NEW);
    InetAddress loopback = HttpIo.loopback();
    listener = new ServerSocket(0, 1, loopback);
    int oldPort = Integer.parseInt(Files.readString(portFile).strip());
    Files.writeString(portFile, Integer.toString(listener.getLocalPort()));
    BackgroundThreads.start(
        () -> {
          Socket toNew = listener.accept();
          Socket toOld = new Socket(loopback, oldPort);
          BackgroundThreads.start(() -> forward(toOld, toNew, Sender.OLD));
          BackgroundThreads.start(() -> forward(toNew, toOld, Sender.NEW));
        });
  }

  private void forward(Socket from, Socket to, Sender sender)
      throws IOException, InterruptedException {
    HttpMessage message = HttpIo.read(from);
    while (message != null) {
      gates.get(sender).await();
      HttpIo.write(to, message.head() + message.body());
      forwarded(sender).add(message);
      message = HttpIo.read(from);
    }
    to.shutdownOutput();
  }

  private BlockingQueue<HttpMessage> forwarded(Sender sender) {
    return sender == Sender.OLD ? fromOld : fromNew;
  }

  /** Holds the messages that a process sends from now on, until {@link #release}. */
  public void hold(Sender sender) {
    gates.put(sender, new CountDownLatch(1));
  }

  /** Passes on what is held, and what follows. */
  public void release(Sender sender) {
    gates.getOrDefault(sender, OPEN).countDown();
    gates.put(sender, OPEN);
  }

  /** Waits for the next message of a process to be passed on. */
  public HttpMessage receive(Sender sender) throws InterruptedException {
    HttpMessage message = forwarded(sender).poll(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (message == null) {
      throw new AssertionError("no message from the process " + sender);
    }
    return message;
  }

  /** Waits for the next message of a process and records it. */
  public void receive(Transcript transcript, Sender sender) throws InterruptedException {
    HttpMessage message = receive(sender);
    transcript.add(
        sender.nameInTranscript, sender.other().nameInTranscript, message.head() + message.body());
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
