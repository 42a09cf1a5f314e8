package loomreel.process;

import java.util.Optional;

/** A change of one override by operators, as the processes of a hot restart exchange it. */
sealed interface OverrideChange {
  /** What operators override: a worker, or the clients of the dispatcher. */
  record Target(Optional<String> worker) {
    private static final Target CLIENTS = new Target(Optional.empty());

    private static Target worker(String id) {
      return new Target(Optional.of(id));
    }
  }

  /** A worker is disabled, or enabled again. */
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

  /** A client drain is started or stopped. */
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

  /** What is overridden. */
  Target target();

  /** The overrides after this change. */
  OperatorOverrides applyTo(OperatorOverrides overrides);

  /** The message that reports this change to another process. */
  HotRestartMessage toMessage();

  /** The change that a message reports; empty for messages of other kinds. */
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
