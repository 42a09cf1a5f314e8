package loomreel.faktory.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Hands what the dispatcher sends to one Faktory worker over to that worker's FETCH commands.
 *
 * <p>An item waits here until it is fetched. An item that waits has not run; one that is being
 * written has not run unless its last byte is out; one that is sent may run. Does no I/O and reads
 * no clock; times are microseconds.
 *
 * @param <T> what is handed over
 * @param <C> the worker's connections, compared by identity
 */
final class FetchDispatcher<T, C> {
  /**
   * Where an item is.
   *
   * <table>
   *   <caption>Transitions</caption>
   *   <tr><th>from</th><th>to</th><th>when</th></tr>
   *   <tr><td>WAITING</td><td>WRITING</td><td>it is fetched</td></tr>
   *   <tr><td>WRITING</td><td>SENT</td><td>its last byte has been written</td></tr>
   * </table>
   *
   * An item may be withdrawn while it is WAITING, and is removed in any other state by the worker's
   * ACK or FAIL, the loss of its connection, or the end of its time.
   */
  enum State {
    WAITING,
    WRITING,
    SENT
  }

  /** One item, from its dispatch to its end. */
  static final class Item<T, C> {
    private static final long NOT_KNOWN_YET = Long.MAX_VALUE;

    private final String id;
    private final String queue;
    private final T value;
    private State state = State.WAITING;
    private C connection;

    /** Offset of its last byte in all that is written on its connection. */
    private long endOffset = NOT_KNOWN_YET;

    /** When it no longer counts as in progress, even without a report of the worker. */
    private long expiresAt = Long.MAX_VALUE;

    private Item(String id, String queue, T value) {
      this.id = id;
      this.queue = queue;
      this.value = value;
    }

    private void startWriting(C fetchedBy) {
      state = State.WRITING;
      connection = fetchedBy;
    }

    private boolean isWrittenUpTo(long bytes) {
      return state == State.WRITING && endOffset <= bytes;
    }

    String id() {
      return id;
    }

    /** What is handed over. */
    T value() {
      return value;
    }

    State state() {
      return state;
    }

    /** The connection that fetched it, or null while it waits. */
    C connection() {
      return connection;
    }

    /** Sets the time from which it no longer counts as in progress. */
    void setExpiry(long time) {
      expiresAt = time;
    }
  }

  /** In the order of their dispatch. */
  private final ArrayDeque<Item<T, C>> waiting = new ArrayDeque<>();

  /** Items that are being written or sent, by id. */
  private final Map<String, Item<T, C>> inProgress = new HashMap<>();

  /**
   * Adds an item that waits for a FETCH.
   *
   * @param maxWaiting how many items may wait
   * @return the item, or null where too many wait or one of this id is still with the worker
   */
  Item<T, C> enqueue(String id, String queue, T value, int maxWaiting) {
    if (waiting.size() >= maxWaiting
        || inProgress.containsKey(id)
        || waiting.stream().anyMatch(item -> item.id.equals(id))) {
      return null;
    }
    Item<T, C> item = new Item<>(id, queue, value);
    waiting.addLast(item);
    return item;
  }

  /** Hands the first waiting item over to a FETCH of its queue; null where there is none. */
  Item<T, C> fetch(Predicate<String> acceptsQueue, C connection) {
    for (Iterator<Item<T, C>> items = waiting.iterator(); items.hasNext(); ) {
      Item<T, C> item = items.next();
      if (acceptsQueue.test(item.queue)) {
        items.remove();
        item.startWriting(connection);
        inProgress.put(item.id, item);
        return item;
      }
    }
    return null;
  }

  /** Sets where the item that a connection fetched last ends in all that is written there. */
  void setEndOffset(C connection, long offset) {
    for (Item<T, C> item : inProgress.values()) {
      if (item.connection == connection && item.endOffset == Item.NOT_KNOWN_YET) {
        item.endOffset = offset;
      }
    }
  }

  /**
   * Marks the items as sent that end within the bytes written on a connection so far.
   *
   * @return those that were not sent before; from now on they may run
   */
  List<Item<T, C>> markSent(C connection, long bytesWritten) {
    List<Item<T, C>> sent = new ArrayList<>(1);
    for (Item<T, C> item : inProgress.values()) {
      if (item.connection == connection && item.isWrittenUpTo(bytesWritten)) {
        item.state = State.SENT;
        sent.add(item);
      }
    }
    return sent;
  }

  /** Removes the item with an id that the worker is done with; null where it has none. */
  Item<T, C> complete(String id) {
    return inProgress.remove(id);
  }

  /** The item with an id that the worker has, or null. */
  Item<T, C> findInProgress(String id) {
    return inProgress.get(id);
  }

  /** Withdraws an item; returns whether it still waited, so that it cannot have run. */
  boolean withdraw(Item<T, C> item) {
    return waiting.remove(item);
  }

  /** Withdraws and returns all items that wait. */
  List<Item<T, C>> withdrawAll() {
    List<Item<T, C>> withdrawn = new ArrayList<>(waiting);
    waiting.clear();
    return withdrawn;
  }

  /** Removes and returns the items that a lost connection had fetched. */
  List<Item<T, C>> removeConnection(C connection) {
    List<Item<T, C>> lost =
        inProgress.values().stream().filter(item -> item.connection == connection).toList();
    lost.forEach(item -> inProgress.remove(item.id));
    return lost;
  }

  /** Removes items whose time is over although the worker has not reported on them. */
  void removeExpired(long now) {
    inProgress.values().removeIf(item -> item.expiresAt <= now);
  }

  /** How many items wait for a FETCH. */
  int waitingCount() {
    return waiting.size();
  }

  /** How many items the worker has. */
  int inProgressCount() {
    return inProgress.size();
  }
}
