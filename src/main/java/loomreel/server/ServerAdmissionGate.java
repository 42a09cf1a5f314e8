package loomreel.server;

import loomreel.ingress.HttpIngress;
import loomreel.process.ClientDrain;
import loomreel.process.HotRestart;

/**
 * Determines which connections and jobs the HTTP ingress accepts, from the state of the process and
 * of a client drain.
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
    return lifecycle.state().hasEndpoints() && !clientDrain.isActive();
  }

  @Override
  public boolean acceptsJobs() {
    return !clientDrain.isRejectingJobs();
  }

  @Override
  public boolean isClosing() {
    return lifecycle.state().isClosing();
  }

  /**
   * Returns whether a response is the last one on its connection. Workers keep their connections
   * during a client drain.
   */
  @Override
  public boolean isFinalResponse(boolean fromWorker) {
    return isClosing() || (clientDrain.isActive() && !fromWorker);
  }

  @Override
  public void forwardStatusUpdate(byte[] body, Runnable completed) {
    hotRestart.forwardCallback(body, completed);
  }
}
