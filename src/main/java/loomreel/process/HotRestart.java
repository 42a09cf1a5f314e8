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
 * This process's side of a hot restart: while two processes serve as one dispatcher it divides the
 * capacity between them, shares the ids of active calls, and forwards callbacks.
 *
 * <p>Without a channel, as where hot restart is disabled or no loopback port can be opened, it does
 * nothing. Confined to the event loop's thread, apart from {@link #connect}.
 */
public final class HotRestart implements CallIdRegistry {
  /** The fraction of the dispatcher's capacity for each of two processes. */
  private static final double HALF = 0.5;

  /** The fraction for a process that serves alone. */
  private static final double ALL = 1;

  private static final double NONE = 0;

  private final Dispatcher dispatcher;
  private final Optional<HotRestartChannel> channel;

  /** The ids of calls that are active in the other process: an id is in use once in both. */
  private final Set<String> idsActiveElsewhere = new HashSet<>();

  private HotRestart(Dispatcher dispatcher, Optional<HotRestartChannel> channel) {
    this.dispatcher = dispatcher;
    this.channel = channel;
  }

  /**
   * Connects to the predecessor, if there is one, and listens for a successor.
   *
   * @param portFile where processes find each other; empty where hot restart is disabled
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

  /** Sets the receiver of what the other process sends; required before the event loop runs. */
  void setListener(HotRestartChannel.Listener listener) {
    channel.ifPresent(open -> open.setListener(listener));
  }

  /** Whether another process serves beside this one. */
  public boolean isShared() {
    return channel.isPresent() && channel.get().isConnected();
  }

  /** Whether a successor serves beside this process. */
  public boolean hasSuccessor() {
    return channel.isPresent() && channel.get().hasSuccessor();
  }

  /** Sends a message that needs no answer to each of the other processes. */
  void send(HotRestartMessage notice) {
    channel.ifPresent(to -> to.send(notice));
  }

  /** Sends a message that needs no answer to the processes other than the one it came from. */
  void relay(HotRestartLink source, HotRestartMessage notice) {
    channel.ifPresent(to -> to.relay(source, notice));
  }

  /** Sends a message that needs no answer to the newest successor, if there is one. */
  void sendToSuccessor(HotRestartMessage notice) {
    channel.ifPresent(to -> to.sendToSuccessor(notice));
  }

  /**
   * Forwards a callback whose job is not in flight here to the other process.
   *
   * @param handled run once that process has handled it; at once where there is none
   */
  public void forwardCallback(byte[] callback, Runnable handled) {
    if (channel.isPresent()) {
      channel.get().forwardCallback(callback, handled);
    } else {
      handled.run();
    }
  }

  /**
   * Divides the capacity by the number of processes, and sends the ids of the calls that are active
   * here to the other one. To be called at the start and whenever a process has connected or
   * disconnected.
   */
  public void divideCapacity() {
    boolean isShared = isShared();
    if (isShared) {
      dispatcher.activeIds().forEach(this::acquired);
    } else {
      idsActiveElsewhere.clear();
    }
    dispatcher.setCapacityFraction(isShared ? HALF : ALL);
  }

  /** Gives all capacity to the successor. */
  public void handOver() {
    dispatcher.setCapacityFraction(NONE);
    send(HotRestartMessage.notice(HotRestartMessage.Type.HANDING_OVER, ""));
  }

  /** The predecessor has given all capacity to this process. */
  void receiveCapacity() {
    dispatcher.setCapacityFraction(ALL);
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

  /** A call has become active in the other process. */
  void acquiredElsewhere(String id) {
    idsActiveElsewhere.add(id);
  }

  /** A call has ended in the other process. */
  void releasedElsewhere(String id) {
    idsActiveElsewhere.remove(id);
  }
}
