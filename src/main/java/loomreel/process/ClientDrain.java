package loomreel.process;

/**
 * The client drain of this process, which operators start and stop. A client drain directs clients
 * to other dispatchers. Holds the {@link ClientDrainState}. Confined to the event loop's thread.
 */
public final class ClientDrain {
  private ClientDrainState state;

  /**
   * Creates a drain whose initial state follows from the overrides of an earlier process. If
   * clients are drained according to these overrides, this process rejects jobs from its start.
   *
   * @param initial the overrides that operators set in an earlier process
   */
  public ClientDrain(OperatorOverrides initial) {
    state = initial.clientsDrained() ? ClientDrainState.REJECTING : ClientDrainState.ACCEPTING;
  }

  /** Returns whether a client drain is in progress. */
  public boolean isActive() {
    return state != ClientDrainState.ACCEPTING;
  }

  /** Returns whether a drain is in progress and jobs are rejected because of it. */
  public boolean isRejectingJobs() {
    return state == ClientDrainState.REJECTING;
  }

  void apply(ClientDrainState.Trigger trigger) {
    state = state.next(trigger);
  }
}
