package loomreel.process;

/**
 * Coordinates this process with its peers during a hot restart. A peer is the predecessor or a
 * successor that is connected to this process. When a peer connects or disconnects, the coordinator
 * divides the file descriptors and the slow-start allowance (see {@link HotRestart}) again. It also
 * applies the messages that peers send. Confined to the event loop's thread.
 */
public final class HotRestartCoordinator implements HotRestartChannel.Listener {
  /**
   * The operations on other components of this process that the coordinator calls when a peer
   * connects, disconnects or sends a message.
   */
  public interface Host {
    /**
     * Sets the number of file descriptors that this process may use: all file descriptors of the
     * dispatcher, or half of them while a peer is connected.
     *
     * @param shared whether a peer is connected
     */
    void divideDescriptors(boolean shared);

    /**
     * Starts to accept connections, because no peer accepts them any more. Does nothing if this
     * process accepts connections already or has stopped accepting them for its own shutdown.
     */
    void acceptClients();

    /**
     * Delivers a callback that a peer has received and forwarded. A callback is a request in which
     * a worker reports the state of a call. A call is a job that the dispatcher has accepted.
     *
     * @param callback the body of the callback as the worker sent it
     * @return whether the callback's call is active in this process, so that the callback was
     *     delivered
     */
    boolean deliverCallback(byte[] callback);
  }

  private final HotRestart hotRestart;
  private final OperatorControls operatorControls;
  private final Host host;

  private HotRestartCoordinator(
      HotRestart hotRestart, OperatorControls operatorControls, Host host) {
    this.hotRestart = hotRestart;
    this.operatorControls = operatorControls;
    this.host = host;
  }

  /**
   * Creates a coordinator and registers it as the receiver of messages from peers. Required before
   * the event loop runs.
   */
  public static void attach(HotRestart hotRestart, OperatorControls operatorControls, Host host) {
    hotRestart.setListener(new HotRestartCoordinator(hotRestart, operatorControls, host));
  }

  @Override
  public void successorConnected() {
    divideResources();
    operatorControls.sendSnapshot();
  }

  @Override
  public void peerDisconnected() {
    divideResources();
    if (!hotRestart.isPeerConnected()) {
      host.acceptClients();
    }
  }

  private void divideResources() {
    host.divideDescriptors(hotRestart.isPeerConnected());
    hotRestart.updateAllowanceAndCallIds();
  }

  @Override
  public void oneWayMessageReceived(HotRestartLink source, HotRestartMessage oneWayMessage) {
    switch (oneWayMessage.type()) {
      case CALL_ID_ACQUIRED -> hotRestart.acquiredElsewhere(oneWayMessage.text());
      case CALL_ID_RELEASED -> hotRestart.releasedElsewhere(oneWayMessage.text());
      case HANDING_OVER -> {
        hotRestart.takeFullAllowance();
        host.acceptClients();
      }
      case WORKER_DISABLED, WORKER_ENABLED, CLIENT_DRAIN_STARTED, CLIENT_DRAIN_STOPPED ->
          overrideReceived(source, OverrideChange.of(oneWayMessage).orElseThrow());
      case OPERATOR_OVERRIDES ->
          operatorControls
              .snapshotReceived(OperatorOverrides.parse(oneWayMessage.text()))
              .forEach(change -> hotRestart.relay(source, change.toMessage()));
      case CALLBACK, CALLBACK_HANDLED ->
          throw new IllegalArgumentException("not a one-way message: " + oneWayMessage.type());
    }
  }

  /**
   * Applies a change that a peer has made to an override. If the change alters an override of this
   * process, this process sends the change to its other peers as well.
   *
   * <p>A predecessor and its successor may change the same override at the same time. Each process
   * then receives the change of the other process after it has made its own change, and replaces
   * its own change by the received one. Without a further step, the two processes would differ.
   *
   * <p>To prevent this, the successor's change takes effect in both processes. If the predecessor
   * has sent a change of the same override to the successor before, the predecessor sends the
   * successor's change back. The successor then applies its own change again. The predecessor does
   * this even if the two changes were not made at the same time, because it cannot detect whether
   * they were.
   */
  private void overrideReceived(HotRestartLink source, OverrideChange change) {
    if (operatorControls.changeReceived(change)) {
      hotRestart.relay(source, change.toMessage());
    }
    if (source.isToSuccessor() && source.hasSentOverride(change.target())) {
      source.send(change.toMessage());
    }
  }

  @Override
  public boolean deliverCallback(byte[] callback) {
    return host.deliverCallback(callback);
  }
}
