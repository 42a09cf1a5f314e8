package loomreel.settings.cue;

import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** An invalid settings file, with all its problems. */
public final class CueException extends Exception {
  private static final long serialVersionUID = 1;
  private final transient List<Problem> problems;

  /** Takes at least one problem; each is reported once, in the order of the file. */
  public CueException(List<Problem> problems) {
    super(
        new TreeSet<>(problems).stream().map(Problem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(new TreeSet<>(problems));
  }

  /** The problems, in the order of the file. */
  public List<Problem> problems() {
    return problems;
  }
}
