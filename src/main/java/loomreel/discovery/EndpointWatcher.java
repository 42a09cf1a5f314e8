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
 * Watches the endpoint list of discovery by long polling. Makes one call after the other. Normally
 * discovery delays the response to a call until the list changes or until the maximum wait of the
 * call has passed. {@link WatchTimeouts} has the timeouts of the calls and the times of retries.
 *
 * <p>Not thread-safe: used on the event loop's thread only.
 */
public final class EndpointWatcher {
  /** Receives the results of a watch. */
  public interface Listener {
    /** Called when discovery has sent a complete endpoint list or the changes to the last list. */
    void endpointsReceived(EndpointList result);

    /** Called when discovery has confirmed that the known endpoint list has not changed. */
    void endpointsUnchanged();

    /**
     * Called when discovery is unavailable and the watch has ended. The last endpoint list stays
     * valid. The listener decides when to call {@link EndpointWatcher#watch} again.
     */
    void watchFailed();
  }

  /**
   * The value of {@link #version} if no version is known. The complete list is requested in this
   * case. Versions of discovery start at 0.
   */
  private static final long NO_VERSION = -1;

  /**
   * The value of the maximum wait, in microseconds, that requests a response at once, whether or
   * not the list has changed.
   */
  private static final long NO_WAIT = 0;

  private static final String ENDPOINTS_PATH = "/registry/instances";
  private static final String VERSION_PARAMETER = "from";
  private static final String MAX_WAIT_MILLIS_PARAMETER = "hold_ms";

  // The names of trace events.
  private static final String TRACE_CALL = "listcall";
  private static final String TRACE_LIST_RECEIVED = "listed";

  private static final long MICROS_PER_MILLI = 1000;

  private final EventLoop loop;
  private final ConnectionPool discovery;
  private final Listener listener;
  private final WatchTimeouts timeouts;
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.discovery");

  /** The version of the last endpoint list, or {@link #NO_VERSION}. */
  private long version;

  /** Whether discovery has sent a valid endpoint list since this watcher was created. */
  private boolean isConfirmed;

  /** Whether a call is in flight. */
  private boolean isCallInFlight;

  /** The start time of the last call, in microseconds of the event loop's clock. */
  private long calledAt;

  /** The timer of the scheduled retry; null if no retry is scheduled. */
  private EventLoop.Timer retryTimer;

  /** Whether the last call failed with {@link WatchTimeouts.Failure#SILENT}. */
  private boolean wasLastCallSilent;

  /** The connection of the call in flight; null if there is none. */
  private PooledConnection connection;

  /**
   * Creates a watcher that makes no call before {@link #watch}. Until discovery has sent a valid
   * list, calls do not wait for a change of the list, because the known list may have been outdated
   * for a long time.
   *
   * @param discovery the connections to discovery or, if lists are pushed to an agent on this
   *     machine, the connections to the agent
   * @param version the version of the known endpoint list
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
    // If lists are pushed to an agent, the list of the agent counts as known to the dispatcher at
    // once (see WatchTimeouts), whatever version the list has. The complete list is therefore
    // requested instead of the changes since the known version.
    this.version = timeouts.pushed() ? NO_VERSION : version;
    this.listener = listener;
  }

  /**
   * Starts to watch the endpoint list: makes a call now, and makes the next call after each valid
   * response. Does nothing if a call is in flight.
   */
  public void watch() {
    if (isCallInFlight) {
      return;
    }
    isCallInFlight = true;
    calledAt = loop.now();
    trace(TRACE_CALL, "from");
    boolean waitsForChange = isConfirmed && version != NO_VERSION;
    EndpointListCall call = new EndpointListCall(this, timeouts.deadline(calledAt, waitsForChange));
    PooledConnection newConnection = discovery.call(request(waitsForChange), call);
    // If the call has failed already, it is no longer in flight and has no connection.
    connection = isCallInFlight ? newConnection : null;
  }

  /**
   * Returns a request for the changes since the known version, or for the complete list if no
   * version is known.
   *
   * @param waitsForChange whether discovery may delay the response until the list changes
   */
  private ByteQueue request(boolean waitsForChange) {
    long maxWaitMicros = waitsForChange ? timeouts.maxWaitMicros() : NO_WAIT;
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
                + maxWaitMicros / MICROS_PER_MILLI;
    ByteQueue request = new ByteQueue(loop.pool());
    request.append(HttpHeaders.request("GET", ENDPOINTS_PATH + query, hostAndPort(), 0));
    return request;
  }

  private String hostAndPort() {
    return discovery.address().getHostString() + ":" + discovery.address().getPort();
  }

  /**
   * Watches discovery at another address. The call in flight is abandoned. The complete list is
   * requested, because the versions at the new address may differ.
   *
   * <p>The first call to the new address is made at once, because the platform has a rule for the
   * move of discovery. This rule is not one of those that {@link WatchTimeouts} lists. It states
   * that the list at the new address counts as known to the dispatcher 4 s after the move, whether
   * or not the dispatcher has received the list. {@link WatchTimeouts} explains what <em>counts as
   * known</em> means.
   */
  public void moveTo(InetSocketAddress address) {
    if (connection != null) {
      connection.abandon();
      connection = null;
    }
    discovery.moveTo(address);
    isCallInFlight = false;
    wasLastCallSilent = false;
    version = NO_VERSION;
    watch();
  }

  /** Handles the response to the call in flight. */
  void responseReceived(HttpMessage message) {
    endCall();
    wasLastCallSilent = false;
    try {
      accept(parseNewer(message));
    } catch (InvalidEndpointListException e) {
      // Any response with status 200 counts as an invalid list, even if its body is no list at all.
      // Any other status shows that discovery is unavailable.
      boolean hasList = message.status() == HttpStatus.OK;
      handleFailure(e.getMessage(), WatchTimeouts.Failure.of(AttemptOutcome.ERROR, hasList, false));
    }
  }

  /**
   * Handles the end of the call in flight without a complete response.
   *
   * @param isResponseStarted whether the head of a response with status 200 has arrived
   */
  void callFailed(AttemptOutcome outcome, boolean isResponseStarted) {
    endCall();
    handleFailure(
        outcome.toString(),
        WatchTimeouts.Failure.of(outcome, isResponseStarted, wasLastCallSilent));
  }

  private void endCall() {
    isCallInFlight = false;
    connection = null;
  }

  private EndpointList parseNewer(HttpMessage message) throws InvalidEndpointListException {
    EndpointList list = parse(message);
    if (list.version() < version) {
      // An older list may lack later changes, for example that a worker is draining. The next call
      // requests the complete list and accepts any version, because discovery may have restarted
      // its version count.
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
    // Makes the next call before the list is processed, because processing takes time. If the next
    // call is late, the watch counts as failed by the rules of the platform.
    watch();
    if (list.complete() || !list.endpoints().isEmpty()) {
      listener.endpointsReceived(list);
    } else {
      listener.endpointsUnchanged();
    }
  }

  private void handleFailure(String reason, WatchTimeouts.Failure failure) {
    OptionalLong retryTime = timeouts.retryTime(failure, wasLastCallSilent, calledAt, loop.now());
    wasLastCallSilent = failure == WatchTimeouts.Failure.SILENT;
    String event = wasLastCallSilent ? "endpoint watch silent" : "endpoint watch failed";
    log.warn(event + " address=" + hostAndPort() + " reason=" + reason);
    if (retryTime.isPresent()) {
      scheduleWatch(retryTime.getAsLong());
    } else {
      listener.watchFailed();
    }
  }

  /**
   * Makes the next call at the given time, or at once if that time has passed. The call after a
   * silent call uses a new connection, because the connection of a silent call is closed.
   */
  private void scheduleWatch(long time) {
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
