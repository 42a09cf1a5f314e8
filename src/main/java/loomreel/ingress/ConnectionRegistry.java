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
 * The open client connections, with the categories unproven, idle and half-closed. The registry
 * only records connections; it neither opens nor closes them. A connection may belong to several
 * categories or to none.
 *
 * <ul>
 *   <li>A connection is <em>unproven</em> until a job or a job status update has arrived on it.
 *   <li>A connection is <em>idle</em> from the end of a response to the start of the next request.
 *   <li>A connection is <em>half-closed</em> after the dispatcher has shut its output down, until
 *       the connection is closed.
 * </ul>
 *
 * <p>All times are in microseconds of the event loop's clock.
 */
final class ConnectionRegistry {
  /**
   * An unproven or half-closed connection, and the time since which it has been in that category.
   *
   * @param since the time at which the connection was accepted if it is unproven, or at which its
   *     output was shut down if it is half-closed
   */
  record Timed(ClientConnection connection, long since) {}

  /** All open connections, including the half-closed ones, the oldest first. */
  private final Set<ClientConnection> open = new LinkedHashSet<>();

  /** The unproven connections and the times at which they were accepted, the oldest first. */
  private final Map<ClientConnection, Long> unproven = new LinkedHashMap<>();

  /**
   * The half-closed connections and the times at which their output was shut down, the oldest
   * first.
   */
  private final Map<ClientConnection, Long> halfClosed = new LinkedHashMap<>();

  /** The idle connections, the longest idle first. */
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

  /**
   * Returns whether a connection is proven, or is unproven and was accepted at the given time or
   * earlier.
   */
  boolean isProvenOrAcceptedNoLaterThan(ClientConnection connection, long time) {
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

  /**
   * Removes the connection that has been idle longest from the idle connections, and returns it.
   *
   * @throws java.util.NoSuchElementException if no connection is idle
   */
  ClientConnection pollLongestIdle() {
    Iterator<ClientConnection> connections = idle.iterator();
    ClientConnection longestIdle = connections.next();
    connections.remove();
    return longestIdle;
  }

  /** Returns a copy of all open connections, including the half-closed ones, the oldest first. */
  List<ClientConnection> openConnections() {
    return new ArrayList<>(open);
  }

  /** Returns a copy of the idle connections, the longest idle first. */
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

  /** Returns the number of open connections that are not half-closed. */
  int activeCount() {
    return open.size() - halfClosed.size();
  }
}
