package loomreel.settings.cue;

/**
 * The limits of one evaluation, so that no settings file can occupy a reader for long or exhaust
 * its stack.
 */
final class EvaluationBudget {
  /** Far more steps than any installation's settings need. */
  private static final int MAX_STEPS = 200_000;

  /** Far more levels than any installation's settings have. */
  private static final int MAX_DEPTH = 64;

  private int steps;

  /** An evaluation has reached one of its limits; the message names it. */
  static final class ExceededException extends RuntimeException {
    private static final long serialVersionUID = 1;

    ExceededException(String reason) {
      super(reason, null, false, false);
    }
  }

  /** Counts one step of the evaluation. */
  void step() {
    if (++steps > MAX_STEPS) {
      throw new ExceededException("more to evaluate than any settings need");
    }
  }

  /** Counts one step of a walk over values, at this depth. */
  void stepAt(int depth) {
    step();
    if (depth > MAX_DEPTH) {
      throw new ExceededException(
          "a struct that holds itself, or more than " + MAX_DEPTH + " levels");
    }
  }
}
