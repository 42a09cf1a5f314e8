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
  }

  private void divideResources() {
    host.divideDescriptors(hotRestart.isShared());
    hotRestart.divideCapacity();
  }

  @Override
  public void noticeReceived(HotRestartMessage notice) {
    OperatorOverrides overrides = operatorControls.overrides();
    String text = notice.text();
    switch (notice.type()) {
      case CALL_ID_ACQUIRED -> hotRestart.acquiredElsewhere(text);
      case CALL_ID_RELEASED -> hotRestart.releasedElsewhere(text);
      case HANDING_OVER -> hotRestart.receiveCapacity();
      case WORKER_DISABLED ->
          operatorControls.changedElsewhere(overrides.withWorkerDisabled(text, true));
      case WORKER_ENABLED ->
          operatorControls.changedElsewhere(overrides.withWorkerDisabled(text, false));
      case CLIENT_DRAIN_STARTED ->
          operatorControls.changedElsewhere(overrides.withClientsDrained(true));
      case CLIENT_DRAIN_STOPPED ->
          operatorControls.changedElsewhere(overrides.withClientsDrained(false));
      case OPERATOR_OVERRIDES -> operatorControls.changedElsewhere(OperatorOverrides.parse(text));
      case CALLBACK, CALLBACK_HANDLED ->
          throw new IllegalArgumentException("not a notice: " + notice.type());
    }
  }

  @Override
  public boolean deliverCallback(byte[] callback) {
    return host.deliverCallback(callback);
  }
}
