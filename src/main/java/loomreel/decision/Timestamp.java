package loomreel.decision;

/** Special values of timestamps, which are in microseconds of the dispatcher's clock. */
final class Timestamp {
  /**
   * A timestamp that is earlier than any reading of the clock. It means that an event has not
   * occurred.
   */
  static final long NEVER = Long.MIN_VALUE / 2;

  private Timestamp() {}
}
