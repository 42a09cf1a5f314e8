package loomreel.server;

/** Holds the {@link ServerState} of the process. Confined to the event loop's thread. */
final class ServerStateMachine {
  private ServerState state = ServerState.STARTING;

  ServerState state() {
    return state;
  }

  void apply(ServerState.Trigger trigger) {
    state = state.next(trigger);
  }
}
