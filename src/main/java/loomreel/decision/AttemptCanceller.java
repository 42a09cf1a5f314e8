package loomreel.decision;

import loomreel.decision.Action.CancelAttempt;

/**
 * Cancels attempts whose results are not needed any more. Does nothing if {@link
 * Settings.Limits#cancellation()} is false.
 */
final class AttemptCanceller {
  private final PolicyContext context;

  AttemptCanceller(PolicyContext context) {
    this.context = context;
  }

  /** Cancels all open attempts of a request. */
  void cancelAll(PendingRequest request) {
    cancel(request, true);
  }

  /**
   * Cancels those open attempts of a request that have not been reported as started. The method is
   * called when a worker reports the start of another attempt of the same request.
   */
  void cancelUnstarted(PendingRequest request) {
    cancel(request, false);
  }

  private void cancel(PendingRequest request, boolean includeStarted) {
    if (!context.settings().limits().cancellation()) {
      return;
    }
    for (int number = 0; number < request.attempts().size(); number++) {
      AttemptState attempt = request.attempts().get(number);
      if ((includeStarted || !attempt.hasStarted()) && attempt.markCancelled()) {
        context.emit(new CancelAttempt(request.id(), number));
      }
    }
  }
}
