package loomreel.simulator;

/**
 * Thrown when the input violates the simulator's protocol. If {@link SimulatorAdapter#run()} throws
 * this exception, the message describes the violation and its place. If the batch with the
 * violation was read, the message names this batch. Otherwise, the message names the last batch
 * before the violation, or states that there is none.
 */
public final class MalformedBatchException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedBatchException(String message) {
    super(message);
  }
}
