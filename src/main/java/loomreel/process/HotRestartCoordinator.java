package loomreel.process;

/**
 * Handles the events and messages from the other process of a hot restart: divides descriptors and
 * capacity when a process connects or disconnects, and applies the messages that it sends. Confined
 * to the event loop's thread.
 */
public final class HotRestartCoordinator implements HotRestartChannel.Listener {
  /** The components of this process that the other process affects. */
  public interface Host {
    /**
     * Divides the file descriptors between the processes.
     *
     * @param shared whether another process of this dispatcher is connected
     */
    void divideDescriptors(boolean shared);

    /**
     * Starts to accept clients, because no other process does. Does nothing if this process accepts
     * them already.
     */
    void acceptClients();

    /**
     * Delivers a callback that the other process received.
     *
     * @return whether its job is active in this process
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
   * Registers a coordinator for all events and messages from the other processes. Required before
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
  public void processDisconnected() {
    divideResources();
    if (!hotRestart.isShared()) {
      host.acceptClients();
    }
  }

  private void divideResources() {
    host.divideDescriptors(hotRestart.isShared());
    hotRestart.divideCapacity();
  }

  @Override
  public void noticeReceived(HotRestartLink source, HotRestartMessage notice) {
    switch (notice.type()) {
      case CALL_ID_ACQUIRED -> hotRestart.acquiredElsewhere(notice.text());
      case CALL_ID_RELEASED -> hotRestart.releasedElsewhere(notice.text());
      case HANDING_OVER -> {
        hotRestart.receiveCapacity();
        host.acceptClients();
      }
      case WORKER_DISABLED, WORKER_ENABLED, CLIENT_DRAIN_STARTED, CLIENT_DRAIN_STOPPED ->
          overrideReceived(source, OverrideChange.of(notice).orElseThrow());
      case OPERATOR_OVERRIDES ->
          operatorControls
              .snapshotReceived(OperatorOverrides.parse(notice.text()))
              .forEach(change -> hotRestart.relay(source, change.toMessage()));
      case CALLBACK, CALLBACK_HANDLED ->
          throw new IllegalArgumentException("not a notice: " + notice.type());
    }
  }

  /**
   * Applies a change of an override by another process and relays it. If the two processes of a
   * link change the same override at the same time, the change by the successor takes effect in
   * both. The predecessor therefore sends the successor's change back, because the successor may
   * have replaced it by the predecessor's change in the meantime.
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
