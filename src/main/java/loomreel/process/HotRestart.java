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
 * This process's side of a hot restart: while two processes serve as one dispatcher it shares the
 * ids of active calls and the capacity between them, and forwards callbacks.
 *
 * <p>Without a channel, as where no other process may come or no loopback port can be opened, it
 * does nothing. Confined to the event loop's thread.
 */
final class HotRestart implements CallIdRegistry {
  /** The share of the dispatcher's capacity for each of two processes. */
  private static final double HALF = 0.5;

  /** The share of a process that serves alone. */
  private static final double ALL = 1;

  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.process.hotrestart");
  private final Dispatcher dispatcher;
  private final Optional<HotRestartChannel> channel;

  /** The ids of calls that are active in the other process: an id is in use once in both. */
  private final Set<String> idsActiveElsewhere = new HashSet<>();

  /**
   * Connects to the process that is running, if there is one, and awaits a newer one.
   *
   * @param portFile where processes find each other, or empty where no other process may come
   * @param listener receives what the other process sends, once the loop runs
   */
  HotRestart(Dispatcher dispatcher, Optional<Path> portFile, HotRestartChannel.Listener listener) {
    this.dispatcher = dispatcher;
    channel = portFile.flatMap(file -> openChannel(file, listener));
    if (channel.isPresent()) {
      dispatcher.setCallIdRegistry(this);
    }
  }

  private Optional<HotRestartChannel> openChannel(
      Path portFile, HotRestartChannel.Listener listener) {
    try {
      return Optional.of(new HotRestartChannel(dispatcher.loop(), portFile, listener));
    } catch (IOException e) {
      log.warn("hot restart unavailable, an upgrade would lose callbacks reason=" + e.getMessage());
      return Optional.empty();
    }
  }

  /** Whether another process serves beside this one. */
  boolean isShared() {
    return channel.isPresent() && channel.get().isConnected();
  }

  /** Whether a newer process serves beside this one. */
  boolean hasSuccessor() {
    return channel.isPresent() && channel.get().hasSuccessor();
  }

  /** Sends a message that needs no answer, if there is another process. */
  void send(HotRestartMessage notice) {
    channel.ifPresent(to -> to.send(notice));
  }

  /** As {@link Lifecycle#forwardCallback}. */
  void forwardCallback(byte[] callback, Runnable handled) {
    if (channel.isPresent()) {
      channel.get().forwardCallback(callback, handled);
    } else {
      handled.run();
    }
  }

  /**
   * Takes the share of the capacity that this process has by the number of processes, and tells the
   * other one which ids are active here. To be called at the start and whenever a process has come
   * or gone.
   */
  void shareAnew() {
    boolean isShared = isShared();
    if (isShared) {
      dispatcher.activeIds().forEach(this::acquired);
    } else {
      idsActiveElsewhere.clear();
    }
    dispatcher.setCapacityFraction(isShared ? HALF : ALL);
  }

  /** Gives all capacity to the successor. */
  void handOver() {
    dispatcher.setCapacityFraction(0);
    send(HotRestartMessage.notice(HotRestartMessage.Type.HANDING_OVER, ""));
  }

  /** The other process gives all capacity to this one. */
  void takeOver() {
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
