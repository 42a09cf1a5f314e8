package loomreel.process;

import java.util.Optional;

/** A change of one override by operators, which the processes of a hot restart exchange. */
sealed interface OverrideChange {
  /**
   * The subject of an override: a worker, or the clients of the dispatcher.
   *
   * @param worker the id of the worker; empty for the clients
   */
  record Target(Optional<String> worker) {
    private static final Target CLIENTS = new Target(Optional.empty());

    private static Target worker(String id) {
      return new Target(Optional.of(id));
    }
  }

  /** Disables a worker or enables it again. */
  record OfWorker(String id, boolean disabled) implements OverrideChange {
    @Override
    public Target target() {
      return Target.worker(id);
    }

    @Override
    public OperatorOverrides applyTo(OperatorOverrides overrides) {
      return overrides.withWorkerDisabled(id, disabled);
    }

    @Override
    public HotRestartMessage toMessage() {
      return HotRestartMessage.notice(
          disabled ? HotRestartMessage.Type.WORKER_DISABLED : HotRestartMessage.Type.WORKER_ENABLED,
          id);
    }
  }

  /** Starts or stops a client drain. */
  record OfClientDrain(boolean drained) implements OverrideChange {
    @Override
    public Target target() {
      return Target.CLIENTS;
    }

    @Override
    public OperatorOverrides applyTo(OperatorOverrides overrides) {
      return overrides.withClientsDrained(drained);
    }

    @Override
    public HotRestartMessage toMessage() {
      return HotRestartMessage.notice(
          drained
              ? HotRestartMessage.Type.CLIENT_DRAIN_STARTED
              : HotRestartMessage.Type.CLIENT_DRAIN_STOPPED,
          "");
    }
  }

  /** Returns the subject of the override that changes. */
  Target target();

  /** Returns the overrides after this change. */
  OperatorOverrides applyTo(OperatorOverrides overrides);

  /** Returns the message that reports this change to another process. */
  HotRestartMessage toMessage();

  /** Returns the change that a message reports, or empty if the message reports none. */
  static Optional<OverrideChange> of(HotRestartMessage message) {
    return switch (message.type()) {
      case WORKER_DISABLED -> Optional.of(new OfWorker(message.text(), true));
      case WORKER_ENABLED -> Optional.of(new OfWorker(message.text(), false));
      case CLIENT_DRAIN_STARTED -> Optional.of(new OfClientDrain(true));
      case CLIENT_DRAIN_STOPPED -> Optional.of(new OfClientDrain(false));
      default -> Optional.empty();
    };
  }
}
