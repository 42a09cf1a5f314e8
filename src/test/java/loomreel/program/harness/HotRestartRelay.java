package loomreel.program.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
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

  private final ServerSocket listener;
  private final BlockingQueue<HttpMessage> fromOld = new LinkedBlockingQueue<>();
  private final BlockingQueue<HttpMessage> fromNew = new LinkedBlockingQueue<>();

  /** Takes the place of the old process, whose port this file holds. */
  public HotRestartRelay(Path portFile) throws IOException {
    InetAddress loopback = HttpIo.loopback();
    listener = new ServerSocket(0, 1, loopback);
    int oldPort = Integer.parseInt(Files.readString(portFile).strip());
    Files.writeString(portFile, Integer.toString(listener.getLocalPort()));
    BackgroundThreads.start(
        () -> {
          Socket toNew = listener.accept();
          Socket toOld = new Socket(loopback, oldPort);
          BackgroundThreads.start(() -> forward(toOld, toNew, fromOld));
          BackgroundThreads.start(() -> forward(toNew, toOld, fromNew));
        });
  }

  private static void forward(Socket from, Socket to, BlockingQueue<HttpMessage> forwarded)
      throws IOException {
    HttpMessage message = HttpIo.read(from);
    while (message != null) {
      HttpIo.write(to, message.head() + message.body());
      forwarded.add(message);
      message = HttpIo.read(from);
    }
    to.shutdownOutput();
  }

  /** Waits for the next message of a process and records it. */
  public void receive(Transcript transcript, Sender sender) throws InterruptedException {
    HttpMessage message =
        (sender == Sender.OLD ? fromOld : fromNew)
            .poll(HttpIo.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (message == null) {
      throw new AssertionError("no message from the process " + sender);
    }
    transcript.add(
        sender.nameInTranscript, sender.other().nameInTranscript, message.head() + message.body());
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
