package loomreel.process;

/**
 * Reacts to the other process of a hot restart: divides descriptors and capacity when a process
 * connects or disconnects, and applies the messages that it sends. Confined to the event loop's
 * thread.
 */
public final class HotRestartCoordinator implements HotRestartChannel.Listener {
  /** The rest of the process, as far as the other process affects it. */
  public interface Host {
    /** Divides the file descriptors; {@code shared} if another process serves beside this one. */
    void divideDescriptors(boolean shared);

    /** Accepts clients, which no other process does; does nothing if this process accepts them. */
    void acceptClients();

    /**
     * Delivers a callback that the other process received.
     *
     * @return whether its job is in flight here
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

  /** Handles all that the other process sends from the first iteration of the event loop on. */
  public static void attach(HotRestart hotRestart, OperatorControls operatorControls, Host host) {
    hotRestart.setListener(new HotRestartCoordinator(hotRestart, operatorControls, host));
  }

  @Override
  public void successorConnected() {
    divideResources();
    operatorControls.sendAll();
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
   * Applies a change of an override. Where two changes of one override cross on a link, the one of
   * the successor holds in both processes: the predecessor sends it back, in case the successor has
   * replaced it by the change that it received from here.
   */
  private void overrideReceived(HotRestartLink source, OverrideChange change) {
    if (operatorControls.changedElsewhere(change)) {
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
