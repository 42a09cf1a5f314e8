package loomreel.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import loomreel.core.CallIdHistory;
import loomreel.core.CallIdRegistry;
import loomreel.core.Dispatcher;
import loomreel.io.RateLimitedLogger;

/**
 * Manages this process's side of a hot restart, in which a successor process replaces its
 * predecessor and both serve as one dispatcher for a time. The predecessor or the successor, if
 * connected, is called a peer of this process.
 *
 * <p>While a peer is connected, this class does the following:
 *
 * <ul>
 *   <li>It divides the dispatcher's slow-start allowance between the processes. The slow-start
 *       allowance limits the load that a dispatcher sends to workers which started recently.
 *   <li>It exchanges the ids of the active calls with the peer, so that no id is active in both
 *       processes at the same time. A call is a job that the dispatcher has accepted.
 *   <li>It forwards callbacks, in which workers report the state of a call, if the call is not
 *       active in this process.
 * </ul>
 *
 * <p>There is no channel to peers if hot restart is disabled, if no loopback port could be opened,
 * or if the port file could not be written. In this case, this process uses the full slow-start
 * allowance and forwards nothing.
 *
 * <p>Confined to the event loop's thread, except for {@link #connect}.
 */
public final class HotRestart implements CallIdRegistry {
  /**
   * The fraction of the slow-start allowance that {@link #updateAllowanceAndCallIds} sets if a peer
   * is connected.
   */
  private static final double HALF_ALLOWANCE = 0.5;

  /**
   * The fraction of the slow-start allowance that {@link #updateAllowanceAndCallIds} sets if no
   * peer is connected. {@link #takeFullAllowance} sets the same fraction after a peer has begun to
   * shut down and has left its part of the allowance to this process.
   */
  private static final double FULL_ALLOWANCE = 1;

  /**
   * The fraction of the slow-start allowance that {@link #handOver} sets, because this process
   * leaves its part of the allowance to its successor. The next call of {@link
   * #updateAllowanceAndCallIds} replaces this fraction.
   */
  private static final double NO_ALLOWANCE = 0;

  private final Dispatcher dispatcher;
  private final Optional<HotRestartChannel> channel;

  /**
   * The ids of the calls that are active in a peer. An id must not be active in two processes at
   * the same time.
   */
  private final CallIdHistory idsActiveElsewhere = new CallIdHistory();

  private HotRestart(Dispatcher dispatcher, Optional<HotRestartChannel> channel) {
    this.dispatcher = dispatcher;
    this.channel = channel;
  }

  /**
   * Connects to the predecessor, if there is one, and listens for a successor.
   *
   * @param portFile the file to which the newest process of this dispatcher writes its loopback
   *     port; empty if hot restart is disabled
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

  /** Sets the receiver of messages from peers. Required before the event loop runs. */
  void setListener(HotRestartChannel.Listener listener) {
    channel.ifPresent(open -> open.setListener(listener));
  }

  /** Returns whether a peer, that is, another process of this dispatcher, is connected. */
  public boolean isPeerConnected() {
    return channel.isPresent() && channel.get().isConnected();
  }

  /** Returns whether a successor is connected. */
  public boolean hasSuccessor() {
    return channel.isPresent() && channel.get().hasSuccessor();
  }

  /** Sends a one-way message, to which there is no reply, to each peer. */
  void send(HotRestartMessage oneWayMessage) {
    channel.ifPresent(restartChannel -> restartChannel.send(oneWayMessage));
  }

  /**
   * Sends a one-way message that was received from a peer to each other peer.
   *
   * @param source the link on which the message was received
   */
  void relay(HotRestartLink source, HotRestartMessage oneWayMessage) {
    channel.ifPresent(restartChannel -> restartChannel.relay(source, oneWayMessage));
  }

  /**
   * Sends a one-way message to the successor. If several successors are connected, the message goes
   * to the one that connected last. Does nothing if no successor is connected.
   */
  void sendToSuccessor(HotRestartMessage oneWayMessage) {
    channel.ifPresent(restartChannel -> restartChannel.sendToSuccessor(oneWayMessage));
  }

  /**
   * Forwards a callback to a peer, because the callback's call is not active in this process.
   * {@link HotRestartMessage} defines when a callback counts as handled.
   *
   * @param callback the body of the callback as the worker sent it
   * @param handled run when the peer has handled the callback or has disconnected; run at once if
   *     no peer is connected
   */
  public void forwardCallback(byte[] callback, Runnable handled) {
    if (channel.isPresent()) {
      channel.get().forwardCallback(callback, handled);
    } else {
      handled.run();
    }
  }

  /**
   * Updates the slow-start allowance and the known call ids after the set of connected peers has
   * changed. Must be called at the start and whenever a peer connects or disconnects.
   *
   * <p>If a peer is connected, this process uses half of the slow-start allowance and sends the ids
   * of its active calls, and of ended ones whose jobs may have run, to each peer. Otherwise, this
   * process uses the full allowance. The jobs of the ids that peers have sent may have run. In both
   * cases, the new fraction replaces the fraction that {@link #handOver} or {@link
   * #takeFullAllowance} has set.
   */
  public void updateAllowanceAndCallIds() {
    boolean isPeerConnected = isPeerConnected();
    if (isPeerConnected) {
      dispatcher.unsafeIds().forEach(this::acquiredAndReleased);
      dispatcher.activeIds().forEach(this::acquired);
    } else {
      dispatcher.addUnsafeIds(idsActiveElsewhere.copy());
      idsActiveElsewhere.clear();
    }
    dispatcher.setCapacityFraction(isPeerConnected ? HALF_ALLOWANCE : FULL_ALLOWANCE);
  }

  /**
   * Stops using the slow-start allowance, because this process shuts down and its successor
   * replaces it. Tells each peer, so that the peer uses the full allowance.
   */
  public void handOver() {
    dispatcher.setCapacityFraction(NO_ALLOWANCE);
    send(HotRestartMessage.oneWayMessage(HotRestartMessage.Type.HANDING_OVER, ""));
  }

  /**
   * Uses the full slow-start allowance, because a peer shuts down and has stopped using the
   * allowance. The next call of {@link #updateAllowanceAndCallIds} sets the fraction again.
   */
  void takeFullAllowance() {
    dispatcher.setCapacityFraction(FULL_ALLOWANCE);
  }

  @Override
  public void acquired(String id) {
    send(HotRestartMessage.oneWayMessage(HotRestartMessage.Type.CALL_ID_ACQUIRED, id));
  }

  @Override
  public void released(String id) {
    send(HotRestartMessage.oneWayMessage(HotRestartMessage.Type.CALL_ID_RELEASED, id));
  }

  /** Tells each peer of an ended call, which an earlier build ignores. */
  private void acquiredAndReleased(String id) {
    acquired(id);
    released(id);
  }

  @Override
  public boolean inUseElsewhere(String id) {
    return idsActiveElsewhere.contains(id);
  }

  /** Records that the call with this id has become active in a peer. */
  void acquiredElsewhere(String id) {
    idsActiveElsewhere.add(id);
  }

  /** Records that the call with this id is no longer active in a peer. */
  void releasedElsewhere(String id) {
    idsActiveElsewhere.remove(id);
    // The message does not say whether the job has run.
    dispatcher.addUnsafeIds(List.of(id));
  }
}
