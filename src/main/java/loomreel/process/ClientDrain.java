package loomreel.process;

/** Owns the {@link ClientDrainState} of a process. Confined to the event loop's thread. */
public final class ClientDrain {
  private ClientDrainState state;

  /**
   * The state at the start of the process.
   *
   * @param initial what operators set in an earlier process
   */
  public ClientDrain(OperatorOverrides initial) {
    state = initial.clientsDrained() ? ClientDrainState.REJECTING : ClientDrainState.ACCEPTING;
  }

  /** Whether operators are draining the clients. */
  public boolean isActive() {
    return state != ClientDrainState.ACCEPTING;
  }

  /** Whether jobs are rejected because clients have had the time to notice the drain. */
  public boolean isRejectingJobs() {
    return state == ClientDrainState.REJECTING;
  }

  void apply(ClientDrainState.Trigger trigger) {
    state = state.next(trigger);
  }
}
