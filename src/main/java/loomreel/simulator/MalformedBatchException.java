package loomreel.simulator;

/**
 * Thrown when the input violates the simulator's protocol. When {@link SimulatorAdapter#run()}
 * throws it, the message describes the violation and names the batch that contains it, or the last
 * batch that was read before it.
 */
public final class MalformedBatchException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedBatchException(String message) {
    super(message);
  }
}
