package loomreel.decision;

/** Special values of timestamps, which are in microseconds of the dispatcher's clock. */
final class Timestamp {
  /** A timestamp for an event that has not occurred. It is earlier than every time of the clock. */
  static final long NEVER = Long.MIN_VALUE / 2;

  private Timestamp() {}
}
