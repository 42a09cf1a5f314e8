package loomreel.process;

import java.util.Optional;

/**
 * A change that operators make to one override. During a hot restart, the processes of a dispatcher
 * send such changes to each other.
 */
sealed interface OverrideChange {
  /**
   * The target of an override: one worker, or all clients of the dispatcher.
   *
   * @param worker the id of the worker; empty if the override applies to all clients
   */
  record Target(Optional<String> worker) {
    private static final Target CLIENTS = new Target(Optional.empty());

    private static Target worker(String id) {
      return new Target(Optional.of(id));
    }
  }

  /**
   * Disables or enables a worker.
   *
   * @param id the worker's id
   * @param disabled true to disable the worker, false to enable it again
   */
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
      return HotRestartMessage.oneWayMessage(
          disabled ? HotRestartMessage.Type.WORKER_DISABLED : HotRestartMessage.Type.WORKER_ENABLED,
          id);
    }
  }

  /**
   * Starts or stops a client drain.
   *
   * @param drained true to start the drain, false to stop it
   */
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
      return HotRestartMessage.oneWayMessage(
          drained
              ? HotRestartMessage.Type.CLIENT_DRAIN_STARTED
              : HotRestartMessage.Type.CLIENT_DRAIN_STOPPED,
          "");
    }
  }

  /** Returns the target of the override that is changed. */
  Target target();

  /** Returns a copy of the overrides with this change applied. */
  OperatorOverrides applyTo(OperatorOverrides overrides);

  /** Returns the message that sends this change to another process of the dispatcher. */
  HotRestartMessage toMessage();

  /** Returns the change that a message contains, or empty if the message is of another type. */
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
