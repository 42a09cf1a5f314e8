package loomreel.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import loomreel.core.CallIdRegistry;
import loomreel.core.Dispatcher;
import loomreel.io.RateLimitedLogger;

/**
 * Manages this process's side of a hot restart. While two processes serve as one dispatcher, it
 * divides the capacity between them, shares the ids of active calls, and forwards callbacks.
 *
 * <p>Without a channel, because hot restart is disabled or no loopback port could be opened, this
 * process keeps all capacity and forwards nothing. Confined to the event loop's thread, except for
 * {@link #connect}.
 */
public final class HotRestart implements CallIdRegistry {
  /** The fraction of the dispatcher's slow-start allowance that each of two processes uses. */
  private static final double HALF_CAPACITY = 0.5;

  /** The fraction that a process uses while no other process uses any. */
  private static final double FULL_CAPACITY = 1;

  /** The fraction that a process uses after it has handed over to its successor. */
  private static final double NO_CAPACITY = 0;

  private final Dispatcher dispatcher;
  private final Optional<HotRestartChannel> channel;

  /**
   * The ids of the calls that are active in the other process. An id must not be active in both
   * processes at the same time.
   */
  private final Set<String> idsActiveElsewhere = new HashSet<>();

  private HotRestart(Dispatcher dispatcher, Optional<HotRestartChannel> channel) {
    this.dispatcher = dispatcher;
    this.channel = channel;
  }

  /**
   * Connects to the predecessor, if there is one, and listens for a successor.
   *
   * @param portFile the file in which the newest process publishes its loopback port; empty if hot
   *     restart is disabled
   */
  public static HotRestart connect(Dispatcher dispatcher, Optional<Path> portFile) {
    HotRestart hotRestart =
        new HotRestart(dispatcher, portFile.flatMap(file -> openChannel(dispatcher, file)));
    if (hotRestart.channel.isPresent()) {
      dispatcher.setCallIdRegistry(hotRestart);
    }
    return hotRestart;
  }

  private static Optional<HotRestartChannel> openChannel(Dispatcher dispatcher, Path portFile) {
    try {
      return Optional.of(HotRestartChannel.open(dispatcher.loop(), portFile));
    } catch (IOException e) {
      new RateLimitedLogger("loomreel.process.hotrestart")
          .warn(
              "hot restart unavailable, an upgrade would lose callbacks reason=" + e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Sets the receiver of messages from the other processes. Required before the event loop runs.
   */
  void setListener(HotRestartChannel.Listener listener) {
    channel.ifPresent(open -> open.setListener(listener));
  }

  /** Returns whether another process of this dispatcher is connected. */
  public boolean isShared() {
    return channel.isPresent() && channel.get().isConnected();
  }

  /** Returns whether a successor is connected. */
  public boolean hasSuccessor() {
    return channel.isPresent() && channel.get().hasSuccessor();
  }

  /** Sends a notice, which is a message that is not answered, to each of the other processes. */
  void send(HotRestartMessage notice) {
    channel.ifPresent(restartChannel -> restartChannel.send(notice));
  }

  /** Sends a notice to each of the other processes except the one that it came from. */
  void relay(HotRestartLink source, HotRestartMessage notice) {
    channel.ifPresent(restartChannel -> restartChannel.relay(source, notice));
  }

  /** Sends a notice to the successor that connected last; does nothing if there is none. */
  void sendToSuccessor(HotRestartMessage notice) {
    channel.ifPresent(restartChannel -> restartChannel.sendToSuccessor(notice));
  }

  /**
   * Forwards a callback whose job is not active in this process to the other process.
   *
   * @param handled run when that process has handled the callback or has disconnected; run at once
   *     if no other process is connected
   */
  public void forwardCallback(byte[] callback, Runnable handled) {
    if (channel.isPresent()) {
      channel.get().forwardCallback(callback, handled);
    } else {
      handled.run();
    }
  }

  /**
   * Sets the capacity that this process uses: half while another process is connected, otherwise
   * all. Sends the ids of the calls that are active here to the other process, or forgets the ids
   * that were active there if none is connected. Must be called at the start and whenever a process
   * connects or disconnects.
   */
  public void divideCapacity() {
    boolean isShared = isShared();
    if (isShared) {
      dispatcher.activeIds().forEach(this::acquired);
    } else {
      idsActiveElsewhere.clear();
    }
    dispatcher.setCapacityFraction(isShared ? HALF_CAPACITY : FULL_CAPACITY);
  }

  /**
   * Gives up all capacity and notifies the other processes, so that the successor uses all of it.
   */
  public void handOver() {
    dispatcher.setCapacityFraction(NO_CAPACITY);
    send(HotRestartMessage.notice(HotRestartMessage.Type.HANDING_OVER, ""));
  }

  /** Takes all capacity, which the predecessor has given up. */
  void receiveCapacity() {
    dispatcher.setCapacityFraction(FULL_CAPACITY);
  }

  @Override
  public void acquired(String id) {
    send(HotRestartMessage.notice(HotRestartMessage.Type.CALL_ID_ACQUIRED, id));
  }

  @Override
  public void released(String id) {
    send(HotRestartMessage.notice(HotRestartMessage.Type.CALL_ID_RELEASED, id));
  }

  @Override
  public boolean inUseElsewhere(String id) {
    return idsActiveElsewhere.contains(id);
  }

  /** Records that a call has become active in the other process. */
  void acquiredElsewhere(String id) {
    idsActiveElsewhere.add(id);
  }

  /** Records that a call is no longer active in the other process. */
  void releasedElsewhere(String id) {
    idsActiveElsewhere.remove(id);
  }
}
