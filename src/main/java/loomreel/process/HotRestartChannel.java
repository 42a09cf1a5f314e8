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
 * Connects the processes of one dispatcher during a hot restart. Both accept connections at the
 * address that clients and workers use, so each receives requests that are meant for the other.
 *
 * <p>Each process listens on a port of IPv4 loopback, and the newest one writes its port to a file
 * in {@code $TMPDIR} where its successor finds it. Unix sockets are not available on every
 * platform: the full fleet's serves only TCP and UDP over IPv4.
 *
 * <p>Confined to the event loop's thread, apart from {@link #open}; open until the process ends.
 */
final class HotRestartChannel implements EventLoop.Handler {
  /** Receives what the other process sends. */
  interface Listener {
    /** The successor has connected. */
    void successorConnected();

    /** Another process has disconnected. */
    void processDisconnected();

    /** A message was received that needs no answer. */
    void noticeReceived(HotRestartLink source, HotRestartMessage notice);

    /**
     * A callback was received whose job is not in flight at the other process.
     *
     * @return whether its job is in flight here
     */
    boolean deliverCallback(byte[] callback);
  }

  /** Pending connections in the kernel's queue; only a few processes ever connect. */
  private static final int BACKLOG = 4;

  private static final int LARGEST_PORT = 65_535;

  private static final byte[] LOOPBACK = {127, 0, 0, 1};
  private static final int ANY_PORT = 0;

  private final EventLoop loop;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.process.hotrestart");
  private final ServerSocketChannel acceptor;
  private final Set<HotRestartLink> links = new LinkedHashSet<>();

  /** Set before the event loop runs, and so before anything is received. */
  private Listener listener;

  private HotRestartChannel(EventLoop loop, ServerSocketChannel acceptor) {
    this.loop = loop;
    this.acceptor = acceptor;
  }

  /**
   * Connects to the predecessor, if there is one, and listens for a successor.
   *
   * @param portFile holds the port of the newest process of this dispatcher
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
    acceptor.bind(address, BACKLOG);
    writePort(portFile, ((InetSocketAddress) acceptor.getLocalAddress()).getPort());
    acceptor.configureBlocking(false);
    acceptor.register(loop.selector(), SelectionKey.OP_ACCEPT, this);
  }

  /** Sets the receiver of what the other processes send; required before the event loop runs. */
  void setListener(Listener listener) {
    this.listener = listener;
  }

  /** The port in the file, if it exists and holds one. */
  private static OptionalInt readPort(Path file) {
    try {
      int port = Integer.parseInt(Files.readString(file).trim());
      return port > 0 && port <= LARGEST_PORT ? OptionalInt.of(port) : OptionalInt.empty();
    } catch (NumberFormatException | IOException e) {
      return OptionalInt.empty();
    }
  }

  /** Replaces the file atomically: a process that starts meanwhile reads a complete port. */
  private static void writePort(Path file, int port) throws IOException {
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(next, Integer.toString(port));
    Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Whether another process serves beside this one. */
  boolean isConnected() {
    return !links.isEmpty();
  }

  /** Whether a successor serves beside this process. */
  boolean hasSuccessor() {
    return links.stream().anyMatch(HotRestartLink::isToSuccessor);
  }

  /** Sends a message that needs no answer to each of the other processes. */
  void send(HotRestartMessage notice) {
    new ArrayList<>(links).forEach(link -> link.send(notice));
  }

  /** Sends a message that needs no answer to the processes other than the one it came from. */
  void relay(HotRestartLink source, HotRestartMessage notice) {
    new ArrayList<>(links)
        .stream().filter(link -> link != source).forEach(link -> link.send(notice));
  }

  /** Sends a message that needs no answer to the newest successor, if there is one. */
  void sendToSuccessor(HotRestartMessage notice) {
    links.stream()
        .filter(HotRestartLink::isToSuccessor)
        .reduce((earlier, later) -> later)
        .ifPresent(successor -> successor.send(notice));
  }

  /**
   * Forwards a callback whose job is not in flight here.
   *
   * @param handled run once another process has handled it, at once if there is none
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
      SocketChannel socket = acceptor.accept();
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
   * A callback was received. If its job is not in flight here, it may be in a third process, which
   * is still draining after an earlier upgrade; the callback is never sent back to its source.
   *
   * @param handled run once a process has handled the callback
   */
  void callbackReceived(HotRestartLink source, byte[] callback, Runnable handled) {
    if (listener.deliverCallback(callback)) {
      handled.run();
    } else {
      forward(callback, links.stream().filter(link -> link != source).findFirst(), handled);
    }
  }

  /** A message was received that needs no answer. */
  void noticeReceived(HotRestartLink source, HotRestartMessage notice) {
    listener.noticeReceived(source, notice);
  }

  /** Removes a link that is being closed, before its callbacks count as handled. */
  void detach(HotRestartLink link) {
    links.remove(link);
  }

  /** A detached link has been closed. */
  void closed() {
    listener.processDisconnected();
  }
}
