package loomreel.settings.cue;

import java.util.Comparator;

/**
 * Something wrong with a file.
 *
 * @param path the field, as {@code faktory.queues.bulk.weight}; empty for the file itself
 * @param isGap whether a value is only missing or not settled yet, which an addition to the file
 *     could resolve; a conflict cannot be resolved so
 */
public record Problem(Position at, String path, String reason, boolean isGap)
    implements Comparable<Problem> {
  private static final Comparator<Problem> BY_PLACE =
      Comparator.comparing(Problem::at).thenComparing(Problem::path).thenComparing(Problem::reason);

  /** A contradiction, which no addition to the file can resolve. */
  public static Problem conflict(Position at, String path, String reason) {
    return new Problem(at, path, reason, false);
  }

  /** A value that is missing or not settled yet. */
  public static Problem gap(Position at, String path, String reason) {
    return new Problem(at, path, reason, true);
  }

  @Override
  public int compareTo(Problem other) {
    return BY_PLACE.compare(this, other);
  }

  @Override
  public String toString() {
    return at + ": " + (path.isEmpty() ? "" : path + ": ") + reason;
  }
}
