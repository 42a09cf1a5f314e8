package loomreel.server;

import loomreel.ingress.HttpIngress;
import loomreel.process.ClientDrain;
import loomreel.process.HotRestart;

/**
 * Determines which jobs the HTTP ingress accepts and which connections it closes. This depends on
 * the state of the process and on the state of the client drain, with which operators direct
 * clients to other dispatchers.
 */
final class ServerAdmissionGate implements HttpIngress.AdmissionGate {
  private final ServerStateMachine lifecycle;
  private final ClientDrain clientDrain;
  private final HotRestart hotRestart;

  ServerAdmissionGate(
      ServerStateMachine lifecycle, ClientDrain clientDrain, HotRestart hotRestart) {
    this.lifecycle = lifecycle;
    this.clientDrain = clientDrain;
    this.hotRestart = hotRestart;
  }

  @Override
  public boolean acceptsClients() {
    return lifecycle.state().isStartupOver() && !clientDrain.isActive();
  }

  @Override
  public boolean acceptsJobs() {
    return !clientDrain.isRejectingJobs();
  }

  @Override
  public boolean isClosing() {
    return lifecycle.state().closesConnectionsWhenIdle();
  }

  /**
   * Returns whether a connection is closed after a response. Workers connect to this process as
   * well, to send callbacks. During a client drain, the connections of clients are closed, and the
   * connections of workers stay open. If {@link #isClosing} returns true, all connections are
   * closed.
   *
   * @param toWorker whether the response is sent to a worker, in reply to a callback
   */
  @Override
  public boolean isFinalResponse(boolean toWorker) {
    return isClosing() || (clientDrain.isActive() && !toWorker);
  }

  @Override
  public void forwardStatusUpdate(byte[] body, Runnable completed) {
    hotRestart.forwardCallback(body, completed);
  }
}
