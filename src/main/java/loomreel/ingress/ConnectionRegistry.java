package loomreel.ingress;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The open client connections, and which of them are unproven, idle or half-closed. Bookkeeping
 * only: it neither opens nor closes a connection.
 *
 * <p>A connection is <em>unproven</em> until it has sent a job or a job status update,
 * <em>idle</em> while it has no request, and <em>half-closed</em> once its output is shut down and
 * the client's close is awaited. All times are in microseconds of the event loop's clock.
 */
final class ConnectionRegistry {
  /** A connection and the time since when it is in its present category. */
  record Timed(ClientConnection connection, long since) {}

  private final Set<ClientConnection> open = new LinkedHashSet<>();

  /** By connection the time at which it was accepted, the oldest first. */
  private final Map<ClientConnection, Long> unproven = new LinkedHashMap<>();

  /** By connection the time at which its output was shut down, the oldest first. */
  private final Map<ClientConnection, Long> halfClosed = new LinkedHashMap<>();

  /** The longest idle first. */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  void add(ClientConnection connection, long now) {
    open.add(connection);
    unproven.put(connection, now);
  }

  void remove(ClientConnection connection) {
    open.remove(connection);
    unproven.remove(connection);
    idle.remove(connection);
    halfClosed.remove(connection);
  }

  void markProven(ClientConnection connection) {
    unproven.remove(connection);
  }

  void markBusy(ClientConnection connection) {
    idle.remove(connection);
  }

  void markIdle(ClientConnection connection) {
    idle.add(connection);
  }

  void markHalfClosed(ClientConnection connection, long now) {
    unproven.remove(connection);
    idle.remove(connection);
    halfClosed.put(connection, now);
  }

  /** Whether a connection is proven, or was accepted at a time or before it. */
  boolean isProvenOrOpenSince(ClientConnection connection, long time) {
    Long acceptedAt = unproven.get(connection);
    return acceptedAt == null || acceptedAt <= time;
  }

  Optional<Timed> oldestUnproven() {
    return oldest(unproven);
  }

  Optional<Timed> oldestHalfClosed() {
    return oldest(halfClosed);
  }

  private static Optional<Timed> oldest(Map<ClientConnection, Long> connections) {
    return connections.entrySet().stream()
        .findFirst()
        .map(entry -> new Timed(entry.getKey(), entry.getValue()));
  }

  /** Removes the connection that has been idle longest from the idle ones; there has to be one. */
  ClientConnection pollLongestIdle() {
    Iterator<ClientConnection> connections = idle.iterator();
    ClientConnection longest = connections.next();
    connections.remove();
    return longest;
  }

  /** A copy of the open connections, the oldest first. */
  List<ClientConnection> openConnections() {
    return new ArrayList<>(open);
  }

  /** A copy of the idle connections, the longest idle first. */
  List<ClientConnection> idleConnections() {
    return new ArrayList<>(idle);
  }

  int openCount() {
    return open.size();
  }

  int unprovenCount() {
    return unproven.size();
  }

  int idleCount() {
    return idle.size();
  }

  int halfClosedCount() {
    return halfClosed.size();
  }

  /** The open connections whose output is not shut down. */
  int activeCount() {
    return open.size() - halfClosed.size();
  }
}
