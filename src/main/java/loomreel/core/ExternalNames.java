package loomreel.core;

import java.util.Locale;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.decision.RejectionReason;

/**
 * Maps constants of the decision module to their names outside the program. The names are used in
 * trace lines, which {@code loomreel tally} aggregates over dispatchers of several versions, and in
 * the reply to Faktory's TRACK command. The names are part of these formats and must not change
 * when a constant is renamed.
 */
final class ExternalNames {
  private ExternalNames() {}

  /** Returns the name of an attempt outcome in trace lines. */
  static String of(AttemptOutcome outcome) {
    return switch (outcome) {
      case OK -> "OK";
      case ERROR -> "ERROR";
      case INVALID -> "INVALID";
      case REJECTED -> "FULL";
      case TIMEOUT -> "TIMEOUT";
      case CONNECT_FAILED -> "CONNECT_FAILED";
      case RESET -> "RESET";
      case CANCELLED -> "CANCELLED";
      case NOT_ATTEMPTED -> "MOOT";
    };
  }

  /** Returns the name of an endpoint state in trace lines. */
  static String of(Endpoint.State state) {
    return switch (state) {
      case READY -> "READY";
      case DRAINING -> "DRAINING";
      case REMOVED -> "GONE";
    };
  }

  /** Returns the name of a rejection reason in trace lines. */
  static String of(RejectionReason reason) {
    return switch (reason) {
      case ARRIVED_TOO_LATE -> "CAME_TOO_LATE";
      case QUOTA_EXCEEDED -> "OVER_SHARE";
      case NO_ELIGIBLE_WORKER -> "NO_WORKER";
      case NO_CAPACITY_IN_TIME -> "NO_ROOM_IN_TIME";
      case NOT_STARTED_IN_TIME -> "NOT_STARTED_IN_TIME";
      case RETRIES_EXHAUSTED -> "NO_OTHER_ATTEMPT";
      case CLIENT_DEADLINE -> "CLIENT_LEAVES";
    };
  }

  /**
   * Returns the text of a rejection reason for the caller of a rejected call: the external name in
   * lower case, with spaces instead of underscores.
   */
  static String toText(RejectionReason reason) {
    return of(reason).toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
