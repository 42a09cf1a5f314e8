package loomreel.server;

import java.io.IOException;
import java.util.Map;
import loomreel.core.Dispatcher;
import loomreel.process.AdminOperations;
import loomreel.process.OperatorControls;

/** Applies the operations that operators request to the components of this process. */
final class ServerAdminOperations implements AdminOperations {
  private final Dispatcher dispatcher;
  private final ServerStateMachine lifecycle;
  private final OperatorControls operatorControls;

  ServerAdminOperations(
      Dispatcher dispatcher, ServerStateMachine lifecycle, OperatorControls operatorControls) {
    this.dispatcher = dispatcher;
    this.lifecycle = lifecycle;
    this.operatorControls = operatorControls;
  }

  @Override
  public boolean isReady() {
    return lifecycle.state().isReady();
  }

  @Override
  public Map<String, Object> metrics() {
    return dispatcher.metricsSnapshot().toJsonFields();
  }

  @Override
  public boolean setWorkerDisabled(String id, boolean disabled) throws IOException {
    return operatorControls.setWorkerDisabled(id, disabled);
  }

  @Override
  public void setClientDrain(boolean draining) throws IOException {
    operatorControls.setClientDrain(draining);
  }
}
