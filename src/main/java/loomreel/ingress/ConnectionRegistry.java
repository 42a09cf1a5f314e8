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
 * only records connections; it neither opens nor closes them.
 *
 * <p>A connection is <em>unproven</em> until it has sent a job or a job status update. It is
 * <em>idle</em> between the end of a request and the next one. It is <em>half-closed</em> after its
 * output was shut down, while the client's close is awaited. All times are in microseconds of the
 * event loop's clock.
 */
final class ConnectionRegistry {
  /**
   * A connection of a category.
   *
   * @param since the time at which the connection entered the category
   */
  record Timed(ClientConnection connection, long since) {}

  /** All open connections, the oldest first. */
  private final Set<ClientConnection> open = new LinkedHashSet<>();

  /** The unproven connections with the time of their accept, the oldest first. */
  private final Map<ClientConnection, Long> unproven = new LinkedHashMap<>();

  /**
   * The half-closed connections with the time of the shutdown of their output, the oldest first.
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

  /** Returns whether a connection is proven, or was accepted no later than the given time. */
  boolean isProvenOrAcceptedBy(ClientConnection connection, long time) {
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

  /** Returns a copy of the open connections, the oldest first. */
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
