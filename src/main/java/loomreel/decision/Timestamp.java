package loomreel.decision;

/** Special values of points in time, which are microseconds of the dispatcher's clock. */
final class Timestamp {
  /** Earlier than any clock reading: the event in question has not happened. */
  static final long NEVER = Long.MIN_VALUE / 2;

  private Timestamp() {}
}
