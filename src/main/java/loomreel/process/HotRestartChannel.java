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
 * Connects this process to its peers, which are the other processes of the same dispatcher during a
 * hot restart: the predecessor and the successor. All of them accept connections of clients and
 * workers at the same address. A process can therefore receive a request that is meant for a peer,
 * such as a callback about a call that is active in the peer. A call is a job that the dispatcher
 * has accepted.
 *
 * <p>Each process listens on a port of the IPv4 loopback interface. The newest process writes its
 * port to a file in {@code $TMPDIR}, from which its successor reads the port. Unix domain sockets
 * are not used, because not every platform provides them: the platform that runs the full fleet of
 * dispatchers provides only TCP and UDP over IPv4.
 *
 * <p>Confined to the event loop's thread, except for {@link #open}. Stays open until the process
 * ends.
 */
final class HotRestartChannel implements EventLoop.Handler {
  /** Receives the messages of peers, and is notified when a peer connects or disconnects. */
  interface Listener {
    /** Called when a successor has connected. */
    void successorConnected();

    /** Called when a peer, that is, the predecessor or a successor, has disconnected. */
    void peerDisconnected();

    /**
     * Called with each one-way message, to which there is no reply. These are all messages except
     * callbacks and their confirmations.
     *
     * @param source the link on which the message was received
     */
    void oneWayMessageReceived(HotRestartLink source, HotRestartMessage oneWayMessage);

    /**
     * Delivers a callback that a peer has forwarded, because the callback's call is not active in
     * the peer.
     *
     * @param callback the body of the callback as the worker sent it
     * @return whether the call is active in this process, so that the callback was delivered
     */
    boolean deliverCallback(byte[] callback);
  }

  /**
   * Maximum number of connections that wait in the kernel's accept queue until this process accepts
   * them. The number is small, because only successors of this process connect.
   */
  private static final int BACKLOG = 4;

  private static final int MAX_PORT = 65_535;

  private static final byte[] LOOPBACK = {127, 0, 0, 1};
  private static final int ANY_PORT = 0;

  private final EventLoop loop;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.process.hotrestart");
  private final ServerSocketChannel listeningSocket;
  private final Set<HotRestartLink> links = new LinkedHashSet<>();

  /** Set before the event loop runs, and thus before a message can be received. */
  private Listener listener;

  private HotRestartChannel(EventLoop loop, ServerSocketChannel listeningSocket) {
    this.loop = loop;
    this.listeningSocket = listeningSocket;
  }

  /**
   * Connects to the predecessor, if there is one, and listens for a successor.
   *
   * @param portFile the file that contains the port of the newest process of this dispatcher; this
   *     method replaces it by a file with the port of this process
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

  /** Sets the receiver of messages from peers. Required before the event loop runs. */
  void setListener(Listener listener) {
    this.listener = listener;
  }

  /** Returns the port in the file, or empty if it cannot be read or contains no valid port. */
  private static OptionalInt readPort(Path file) {
    try {
      int port = Integer.parseInt(Files.readString(file).trim());
      return port > 0 && port <= MAX_PORT ? OptionalInt.of(port) : OptionalInt.empty();
    } catch (NumberFormatException | IOException e) {
      return OptionalInt.empty();
    }
  }

  /**
   * Replaces the file atomically, so that a successor that starts at the same time never reads an
   * incomplete port number.
   */
  private static void writePort(Path file, int port) throws IOException {
    Path temporaryFile = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(temporaryFile, Integer.toString(port));
    Files.move(
        temporaryFile, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Returns whether a peer, that is, the predecessor or a successor, is connected. */
  boolean isConnected() {
    return !links.isEmpty();
  }

  /** Returns whether a successor is connected. */
  boolean hasSuccessor() {
    return links.stream().anyMatch(HotRestartLink::isToSuccessor);
  }

  /** Sends a one-way message, to which there is no reply, to each peer. */
  void send(HotRestartMessage oneWayMessage) {
    new ArrayList<>(links).forEach(link -> link.send(oneWayMessage));
  }

  /**
   * Sends a one-way message that was received from a peer to each other peer.
   *
   * @param source the link on which the message was received
   */
  void relay(HotRestartLink source, HotRestartMessage oneWayMessage) {
    new ArrayList<>(links)
        .stream().filter(link -> link != source).forEach(link -> link.send(oneWayMessage));
  }

  /**
   * Sends a one-way message to the successor. If several successors are connected, the message goes
   * to the one that connected last. Does nothing if no successor is connected.
   */
  void sendToSuccessor(HotRestartMessage oneWayMessage) {
    links.stream()
        .filter(HotRestartLink::isToSuccessor)
        .reduce((earlier, later) -> later)
        .ifPresent(successor -> successor.send(oneWayMessage));
  }

  /**
   * Forwards a callback that a worker has sent to this process, because the callback's call is not
   * active in this process. The callback goes to the predecessor if it is connected, and otherwise
   * to the successor that connected first. {@link HotRestartMessage} defines when a callback counts
   * as handled.
   *
   * @param callback the body of the callback as the worker sent it
   * @param handled run when the peer has handled the callback or has disconnected; run at once if
   *     no peer is connected
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
   * Handles a callback that a peer has forwarded.
   *
   * <p>If the callback's call is not active in this process, the callback is forwarded to another
   * peer: the call may be active in a process that still drains after an earlier hot restart. A
   * callback is never sent back to the peer that it was received from.
   *
   * @param source the link on which the callback was received
   * @param callback the body of the callback as the worker sent it
   * @param handled run when the callback was delivered in this process, or when the other peer has
   *     handled it or has disconnected; run at once if there is no other peer
   */
  void callbackReceived(HotRestartLink source, byte[] callback, Runnable handled) {
    if (listener.deliverCallback(callback)) {
      handled.run();
    } else {
      forward(callback, links.stream().filter(link -> link != source).findFirst(), handled);
    }
  }

  /** Passes a one-way message to the listener. */
  void oneWayMessageReceived(HotRestartLink source, HotRestartMessage oneWayMessage) {
    listener.oneWayMessageReceived(source, oneWayMessage);
  }

  /**
   * Removes a link that is closing. The link calls this method before it runs the tasks of its
   * unhandled callbacks.
   */
  void detach(HotRestartLink link) {
    links.remove(link);
  }

  /** Tells the listener that the peer of a link has disconnected. The link was removed before. */
  void linkClosed() {
    listener.peerDisconnected();
  }
}
