package loomreel.decision;

import java.util.HashMap;
import java.util.Map;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;

/** The pending requests, by id and by the token of their timers. */
final class RequestTable {
  private final Map<String, PendingRequest> byId = new HashMap<>();
  private final Map<Long, PendingRequest> byToken = new HashMap<>();
  private long lastToken;

  /**
   * @param lastReservedToken the highest timer token that is not a request's
   */
  RequestTable(long lastReservedToken) {
    lastToken = lastReservedToken;
  }

  PendingRequest add(RequestArrived arrival, RequestClass requestClass) {
    PendingRequest request = new PendingRequest(arrival, requestClass, ++lastToken);
    byId.put(request.id(), request);
    byToken.put(request.token, request);
    return request;
  }

  /** A pending request, or null. */
  PendingRequest get(String id) {
    return byId.get(id);
  }

  /** The request whose timer has fired, or null if it has ended. */
  PendingRequest byToken(long token) {
    return byToken.get(token);
  }

  /** The attempt with that number if it is open, or null. */
  AttemptState openAttempt(String requestId, int attemptNumber) {
    PendingRequest request = byId.get(requestId);
    if (request == null || attemptNumber < 0 || attemptNumber >= request.attempts().size()) {
      return null;
    }
    AttemptState attempt = request.attempts().get(attemptNumber);
    return attempt.isOpen() ? attempt : null;
  }

  /** The request has ended: its timers are ignored from now on. */
  void end(PendingRequest request) {
    byToken.remove(request.token);
  }

  /** Drops a request that has ended, once all of its attempts have. */
  void removeIfComplete(PendingRequest request) {
    if (request.hasEnded() && !request.anyAttemptOpen()) {
      byId.remove(request.id());
    }
  }
}
