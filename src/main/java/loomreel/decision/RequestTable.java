package loomreel.decision;

import java.util.HashMap;
import java.util.Map;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Settings.RequestClass;

/**
 * The pending requests, indexed by their ids and by the tokens of their timers. A request that has
 * ended stays in the table while one of its attempts is open, but can be found only by its id.
 */
final class RequestTable {
  private final Map<String, PendingRequest> byId = new HashMap<>();
  private final Map<Long, PendingRequest> byToken = new HashMap<>();
  private long lastToken;

  /**
   * Creates an empty table.
   *
   * @param lastReservedToken the highest timer token that does not belong to a request
   */
  RequestTable(long lastReservedToken) {
    lastToken = lastReservedToken;
  }

  /**
   * Creates a pending request for an arrival, gives it the next timer token, and adds it to the
   * table.
   */
  PendingRequest add(RequestArrived arrival, RequestClass requestClass) {
    PendingRequest request = new PendingRequest(arrival, requestClass, ++lastToken);
    byId.put(request.id(), request);
    byToken.put(request.token, request);
    return request;
  }

  /**
   * Returns the pending request with the given id; null if there is none. A request that has ended
   * is still returned while one of its attempts is open.
   */
  PendingRequest get(String id) {
    return byId.get(id);
  }

  /**
   * Returns the pending request with the given timer token; null if the request has ended or the
   * token is unknown.
   */
  PendingRequest byToken(long token) {
    return byToken.get(token);
  }

  /**
   * Returns an open attempt of a request; null if the request is unknown, the attempt is unknown,
   * or the attempt has ended.
   */
  AttemptState openAttempt(String requestId, int attemptNumber) {
    PendingRequest request = byId.get(requestId);
    if (request == null || attemptNumber < 0 || attemptNumber >= request.attempts().size()) {
      return null;
    }
    AttemptState attempt = request.attempts().get(attemptNumber);
    return attempt.isOpen() ? attempt : null;
  }

  /**
   * Removes the timer token of a request that has ended. {@link #byToken(long)} then returns null
   * for this token, so timers of the request that fire later are ignored. {@link #get} still
   * returns the request until {@link #removeIfComplete} removes it.
   */
  void end(PendingRequest request) {
    byToken.remove(request.token);
  }

  /** Removes a request that has ended, unless one of its attempts is still open. */
  void removeIfComplete(PendingRequest request) {
    if (request.hasEnded() && !request.anyAttemptOpen()) {
      byId.remove(request.id());
    }
  }
}
