package loomreel.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import loomreel.config.EndpointList;
import loomreel.config.JsonTree;
import loomreel.decision.AttemptOutcome;
import loomreel.http.ConnectionPool;
import loomreel.http.HttpHeaders;
import loomreel.http.HttpMessage;
import loomreel.http.HttpStatus;
import loomreel.http.PooledConnection;
import loomreel.io.ByteQueue;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * Watches discovery's endpoint list by long polling: one call after the other, each of which waits
 * for a change of the list. {@link WatchTimeouts} has the time limits and the times of retries.
 *
 * <p>Used on the event loop's thread only.
 */
public final class EndpointWatcher {
  /** Receives the results of the watch. */
  public interface Listener {
    /** Discovery has sent an endpoint list, or with changes to the last one. */
    void endpointsReceived(EndpointList result);

    /** Discovery has confirmed that the list that is known has not changed. */
    void endpointsUnchanged();

    /**
     * Discovery is unavailable and the watch has ended; the last list stays valid. The listener
     * decides when to call {@link EndpointWatcher#watch} again.
     */
    void watchFailed();
  }

  /** No version is known, so the complete list is requested; versions count from 0. */
  private static final long NO_VERSION = -1;

  /** Discovery responds at once. */
  private static final long NO_WAIT = 0;

  private static final String ENDPOINTS_PATH = "/registry/instances";
  private static final String VERSION_PARAMETER = "from";
  private static final String MAX_WAIT_MILLIS_PARAMETER = "hold_ms";

  // Names of trace events.
  private static final String TRACE_CALL = "listcall";
  private static final String TRACE_LIST_RECEIVED = "listed";

  private static final long MICROS_PER_MILLI = 1000;

  private final EventLoop loop;
  private final ConnectionPool discovery;
  private final Listener listener;
  private final WatchTimeouts timeouts;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.discovery");

  /** The version of the last list, or {@link #NO_VERSION}. */
  private long version;

  /** Whether discovery has responded with a list since this watcher was created. */
  private boolean isConfirmed;

  private boolean calling;

  /** When the last call began. */
  private long calledAt;

  /** The retry that is scheduled; null if there is none. */
  private EventLoop.Timer retryTimer;

  private boolean lastCallSilent;

  /** The connection of the call in flight; null if there is none. */
  private PooledConnection connection;

  /**
   * Creates a watcher that makes no call before {@link #watch}. Until discovery has responded with
   * a list, its calls do not wait for a change: the list that is known may have been outdated for
   * long.
   *
   * @param version the version of the list that is known
   */
  public EndpointWatcher(
      EventLoop loop,
      ConnectionPool discovery,
      long version,
      WatchTimeouts timeouts,
      Listener listener) {
    this.loop = loop;
    this.discovery = discovery;
    this.timeouts = timeouts;
    // The list of an agent counts as known whatever its version, so the complete one is requested.
    this.version = timeouts.pushed() ? NO_VERSION : version;
    this.listener = listener;
  }

  /** Starts a watch, unless one is active. */
  public void watch() {
    if (calling) {
      return;
    }
    calling = true;
    calledAt = loop.now();
    trace(TRACE_CALL, "from");
    boolean waitsForChange = isConfirmed && version != NO_VERSION;
    EndpointListCall call = new EndpointListCall(this, timeouts.deadline(calledAt, waitsForChange));
    PooledConnection opened = discovery.call(request(waitsForChange), call);
    // The call may have failed already.
    connection = calling ? opened : null;
  }

  /**
   * A request for the changes since the version that is known, or for the complete list.
   *
   * @param waitsForChange whether discovery may delay the response until the list changes
   */
  private ByteQueue request(boolean waitsForChange) {
    long maxWait = waitsForChange ? timeouts.maxWait() : NO_WAIT;
    String query =
        version == NO_VERSION
            ? ""
            : "?"
                + VERSION_PARAMETER
                + "="
                + version
                + "&"
                + MAX_WAIT_MILLIS_PARAMETER
                + "="
                + maxWait / MICROS_PER_MILLI;
    ByteQueue request = new ByteQueue(loop.pool());
    request.append(HttpHeaders.request("GET", ENDPOINTS_PATH + query, hostAndPort(), 0));
    return request;
  }

  private String hostAndPort() {
    return discovery.address().getHostString() + ":" + discovery.address().getPort();
  }

  /**
   * Watches discovery at another address, at once: its list counts as known 4 s later. The call in
   * flight is abandoned. Versions may differ there, so the complete list is requested.
   */
  public void moveTo(InetSocketAddress address) {
    if (connection != null) {
      connection.abandon();
      connection = null;
    }
    discovery.moveTo(address);
    calling = false;
    lastCallSilent = false;
    version = NO_VERSION;
    watch();
  }

  /** The response to the call in flight was received. */
  void responseReceived(HttpMessage message) {
    endCall();
    lastCallSilent = false;
    try {
      accept(parseNewer(message));
    } catch (InvalidEndpointListException e) {
      boolean hasList = message.status() == HttpStatus.OK;
      failed(e.getMessage(), WatchTimeouts.Failure.of(AttemptOutcome.ERROR, hasList, false));
    }
  }

  /**
   * The call in flight has ended without a complete response.
   *
   * @param isResponseStarted whether a part of a response with a list had arrived
   */
  void callFailed(AttemptOutcome outcome, boolean isResponseStarted) {
    endCall();
    failed(
        outcome.toString(), WatchTimeouts.Failure.of(outcome, isResponseStarted, lastCallSilent));
  }

  private void endCall() {
    calling = false;
    connection = null;
  }

  private EndpointList parseNewer(HttpMessage message) throws InvalidEndpointListException {
    EndpointList list = parse(message);
    if (list.version() < version) {
      // It may lack later changes, such as a worker that is draining. The complete list is accepted
      // next, whatever its version: discovery may have restarted its count.
      String reason = "version " + list.version() + " after " + version;
      version = NO_VERSION;
      throw new InvalidEndpointListException(reason);
    }
    return list;
  }

  private static EndpointList parse(HttpMessage message) throws InvalidEndpointListException {
    if (message.status() != HttpStatus.OK) {
      throw new InvalidEndpointListException("status " + message.status());
    }
    try {
      return EndpointList.of(JsonTree.read(message.body().toArray()));
    } catch (IOException | IllegalArgumentException e) {
      String firstLine = e.getMessage().lines().findFirst().orElse("no list");
      throw new InvalidEndpointListException(firstLine, e);
    }
  }

  private void accept(EndpointList list) {
    version = list.version();
    isConfirmed = true;
    trace(TRACE_LIST_RECEIVED, "seq");
    // The next call first: the watch counts as failed if it is late.
    watch();
    if (list.complete() || !list.endpoints().isEmpty()) {
      listener.endpointsReceived(list);
    } else {
      listener.endpointsUnchanged();
    }
  }

  private void failed(String reason, WatchTimeouts.Failure failure) {
    OptionalLong retryTime = timeouts.retryTime(failure, lastCallSilent, calledAt, loop.now());
    lastCallSilent = failure == WatchTimeouts.Failure.SILENT;
    String event = lastCallSilent ? "endpoint watch silent" : "endpoint watch failed";
    log.warn(event + " address=" + hostAndPort() + " reason=" + reason);
    if (retryTime.isPresent()) {
      watchAt(retryTime.getAsLong());
    } else {
      listener.watchFailed();
    }
  }

  /** Retries at a time; the connection of a silent call is closed, so this uses a new one. */
  private void watchAt(long time) {
    if (time <= loop.now()) {
      watch();
    } else if (retryTimer == null) {
      retryTimer = loop.schedule(time, this::retry);
    }
  }

  private void retry() {
    retryTimer = null;
    watch();
  }

  private void trace(String event, String versionField) {
    if (loop.trace() != null) {
      loop.trace().line(loop.now(), event, versionField, version);
    }
  }
}
