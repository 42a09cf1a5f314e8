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

  /** Evaluations within each other; an alternative of a disjunction is evaluated by itself. */
  private static final int MAX_NESTING = 128;

  private int steps;
  private int nesting;

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

  /** An evaluation begins within those that have begun and not ended. */
  void enter() {
    step();
    if (nesting == MAX_NESTING) {
      throw new ExceededException(
          "a struct that holds itself, or more than "
              + MAX_NESTING
              + " alternatives in each other");
    }
    nesting++;
  }

  /** The evaluation that has begun last ends. */
  void leave() {
    nesting--;
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
