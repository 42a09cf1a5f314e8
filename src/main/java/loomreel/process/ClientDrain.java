package loomreel.process;

/** Holds the {@link ClientDrainState} of a process. Confined to the event loop's thread. */
public final class ClientDrain {
  private ClientDrainState state;

  /**
   * Creates a drain that continues one from an earlier process: jobs are rejected from the start if
   * clients were drained then.
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

  /**
   * Returns whether a drain is in progress and its notice period is over, so that jobs are
   * rejected.
   */
  public boolean isRejectingJobs() {
    return state == ClientDrainState.REJECTING;
  }

  void apply(ClientDrainState.Trigger trigger) {
    state = state.next(trigger);
  }
}
