package loomreel.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Connects the processes of one dispatcher during a hot restart. Two such processes accept
 * connections at the same address, which clients and workers use, so each of them receives requests
 * that are meant for the other.
 *
 * <p>Each process listens on a port of IPv4 loopback. The newest process writes its port to a file
 * in {@code $TMPDIR}, where its successor finds it. Unix domain sockets are not used, because they
 * are not available on every platform: the platform of the full fleet provides only TCP and UDP
 * over IPv4.
 *
 * <p>Confined to the event loop's thread, except for {@link #open}. Stays open until the process
 * ends.
 */
final class HotRestartChannel implements EventLoop.Handler {
  /** Receives events and messages from the other processes. */
  interface Listener {
    /** Called when a successor has connected. */
    void successorConnected();

    /** Called when another process has disconnected. */
    void processDisconnected();

    /**
     * Called with each notice, which is a message that is not answered.
     *
     * @param source the link on which the notice was received
     */
    void noticeReceived(HotRestartLink source, HotRestartMessage notice);

    /**
     * Delivers a callback whose job is not active in the process that sent it.
     *
     * @return whether the job is active in this process
     */
    boolean deliverCallback(byte[] callback);
  }

  /**
   * Maximum number of pending connections in the kernel's accept queue. Only a few processes
   * connect.
   */
  private static final int BACKLOG = 4;

  private static final int MAX_PORT = 65_535;

  private static final byte[] LOOPBACK = {127, 0, 0, 1};
  private static final int ANY_PORT = 0;

  private final EventLoop loop;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.process.hotrestart");
  private final ServerSocketChannel listeningSocket;
  private final Set<HotRestartLink> links = new LinkedHashSet<>();

  /** Set before the event loop runs, and thus before any message is received. */
  private Listener listener;

  private HotRestartChannel(EventLoop loop, ServerSocketChannel listeningSocket) {
    this.loop = loop;
    this.listeningSocket = listeningSocket;
  }

  /**
   * Connects to the predecessor, if there is one, and listens for a successor.
   *
   * @param portFile contains the port of the newest process of this dispatcher; replaced by this
   *     method
   * @throws IOException if no port can be opened or the file cannot be written
   */
  static HotRestartChannel open(EventLoop loop, Path portFile) throws IOException {
    InetAddress loopback = InetAddress.getByAddress(LOOPBACK);
    HotRestartChannel channel = new HotRestartChannel(loop, ServerSocketChannel.open());
    OptionalInt predecessor = readPort(portFile);
    if (predecessor.isPresent()) {
      channel.connect(new InetSocketAddress(loopback, predecessor.getAsInt()), portFile);
    }
    channel.listen(new InetSocketAddress(loopback, ANY_PORT), portFile);
    return channel;
  }

  private void connect(InetSocketAddress predecessor, Path portFile) {
    try {
      links.add(new HotRestartLink(loop, SocketChannel.open(predecessor), false, this, log));
      log.info("hot restart link established peer=predecessor");
    } catch (IOException e) {
      log.info("no predecessor process found file=" + portFile.getFileName());
    }
  }

  private void listen(InetSocketAddress address, Path portFile) throws IOException {
    listeningSocket.bind(address, BACKLOG);
    writePort(portFile, ((InetSocketAddress) listeningSocket.getLocalAddress()).getPort());
    listeningSocket.configureBlocking(false);
    listeningSocket.register(loop.selector(), SelectionKey.OP_ACCEPT, this);
  }

  /**
   * Sets the receiver of messages from the other processes. Required before the event loop runs.
   */
  void setListener(Listener listener) {
    this.listener = listener;
  }

  /**
   * Returns the port in the file, or empty if the file cannot be read or contains no valid port.
   */
  private static OptionalInt readPort(Path file) {
    try {
      int port = Integer.parseInt(Files.readString(file).trim());
      return port > 0 && port <= MAX_PORT ? OptionalInt.of(port) : OptionalInt.empty();
    } catch (NumberFormatException | IOException e) {
      return OptionalInt.empty();
    }
  }

  /**
   * Replaces the file atomically, so that a process that starts at the same time reads a complete
   * port.
   */
  private static void writePort(Path file, int port) throws IOException {
    Path temporaryFile = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(temporaryFile, Integer.toString(port));
    Files.move(
        temporaryFile, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Returns whether another process is connected. */
  boolean isConnected() {
    return !links.isEmpty();
  }

  /** Returns whether a successor is connected. */
  boolean hasSuccessor() {
    return links.stream().anyMatch(HotRestartLink::isToSuccessor);
  }

  /** Sends a notice, which is a message that is not answered, to each of the other processes. */
  void send(HotRestartMessage notice) {
    new ArrayList<>(links).forEach(link -> link.send(notice));
  }

  /** Sends a notice to each of the other processes except the one that it came from. */
  void relay(HotRestartLink source, HotRestartMessage notice) {
    new ArrayList<>(links)
        .stream().filter(link -> link != source).forEach(link -> link.send(notice));
  }

  /** Sends a notice to the successor that connected last; does nothing if there is none. */
  void sendToSuccessor(HotRestartMessage notice) {
    links.stream()
        .filter(HotRestartLink::isToSuccessor)
        .reduce((earlier, later) -> later)
        .ifPresent(successor -> successor.send(notice));
  }

  /**
   * Forwards a callback whose job is not active in this process.
   *
   * @param handled run when another process has handled the callback or has disconnected; run at
   *     once if no other process is connected
   */
  void forwardCallback(byte[] callback, Runnable handled) {
    forward(callback, links.stream().findFirst(), handled);
  }

  private static void forward(
      byte[] callback, Optional<HotRestartLink> destination, Runnable handled) {
    if (destination.isPresent()) {
      destination.get().sendCallback(callback, handled);
    } else {
      handled.run();
    }
  }

  @Override
  public void ready(SelectionKey key) {
    try {
      SocketChannel socket = listeningSocket.accept();
      if (socket != null) {
        links.add(new HotRestartLink(loop, socket, true, this, log));
        log.info("hot restart link established peer=successor");
        listener.successorConnected();
      }
    } catch (IOException e) {
      log.warn("hot restart link failed reason=" + e.getMessage());
    }
  }

  /**
   * Handles a callback from another process. If its job is not active in this process, it may be
   * active in a third process, which still drains after an earlier upgrade, so the callback is
   * forwarded to that process. It is never sent back to its source.
   *
   * @param handled run when a process has handled the callback, or at once if there is no third
   *     process
   */
  void callbackReceived(HotRestartLink source, byte[] callback, Runnable handled) {
    if (listener.deliverCallback(callback)) {
      handled.run();
    } else {
      forward(callback, links.stream().filter(link -> link != source).findFirst(), handled);
    }
  }

  /** Passes a notice to the listener. */
  void noticeReceived(HotRestartLink source, HotRestartMessage notice) {
    listener.noticeReceived(source, notice);
  }

  /** Removes a link that is closing. Called before the callbacks of the link count as handled. */
  void detach(HotRestartLink link) {
    links.remove(link);
  }

  /** Notifies the listener that a link has been detached and closed. */
  void linkClosed() {
    listener.processDisconnected();
  }
}
