package loomreel.upstream;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loomreel.core.CallAttempt;
import loomreel.core.Dispatcher;
import loomreel.core.Rpc;
import loomreel.core.Subchannel;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.Endpoint;
import loomreel.http.ConnectionPool;
import loomreel.http.HttpExchange;
import loomreel.http.HttpHeaders;
import loomreel.http.HttpMessage;
import loomreel.http.HttpStatus;
import loomreel.http.JobHeader;
import loomreel.io.ByteQueue;
import loomreel.io.RateLimitedLogger;

/**
 * The subchannel to a worker that is called over HTTP. Creates the HTTP requests of the worker's
 * protocol: submitting a job, cancelling a job, and querying the load.
 *
 * <p>Owned by {@link HttpWorkerPool}. Owns the connection pool of the worker.
 */
final class HttpSubchannel implements Subchannel {
  /**
   * The timeout of health checks, reachability checks and cancellations, as a multiple of the
   * connect timeout.
   */
  private static final int SHORT_CALL_TIMEOUT_FACTOR = 2;

  private static final long MICROS_PER_MILLI = 1000;
  private static final String JOBS_PATH = "/jobs/";
  private static final String LOAD_PATH = "/stats";

  private final Dispatcher dispatcher;
  private final RateLimitedLogger log;
  private final ConnectionPool pool;
  private final ReachabilityListener reachabilityListener;
  private final long shortCallTimeoutMicros;
  private Endpoint endpoint;

  HttpSubchannel(
      Dispatcher dispatcher,
      Endpoint endpoint,
      ConnectionPool pool,
      RateLimitedLogger log,
      ReachabilityListener reachabilityListener) {
    this.dispatcher = dispatcher;
    this.endpoint = endpoint;
    this.pool = pool;
    this.log = log;
    this.reachabilityListener = reachabilityListener;
    this.shortCallTimeoutMicros = SHORT_CALL_TIMEOUT_FACTOR * pool.connectTimeout();
  }

  /**
   * Sets the latest entry of the endpoint list for this worker. If the address or the start time of
   * the worker has changed, existing connections are not used for further calls, because they
   * belong to the old process of the worker.
   */
  void update(InetSocketAddress address, Endpoint newEndpoint) {
    if (!address.equals(pool.address()) || newEndpoint.startedAt() != endpoint.startedAt()) {
      pool.moveTo(address);
    }
    endpoint = newEndpoint;
  }

  /** Returns the latest entry of the endpoint list for this worker. */
  @Override
  public Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Closes the idle connections after the worker was removed from the endpoint list. Calls in
   * flight continue.
   */
  void retire() {
    pool.moveTo(pool.address());
  }

  /** Closes connections whose idle time exceeds the idle timeout. */
  void closeStale() {
    pool.closeStale();
  }

  /** Returns the listener that is informed whether calls have reached this worker. */
  ReachabilityListener reachabilityListener() {
    return reachabilityListener;
  }

  @Override
  public ActiveCall start(CallAttempt attempt) {
    if (!attempt.mayStart()) {
      attempt.end(AttemptOutcome.REJECTED, null);
      return null;
    }
    Rpc rpc = attempt.rpc();
    ByteQueue request = request("POST", rpc.target(), rpc.body().length(), jobHeaders(attempt));
    request.append(rpc.body());
    JobCall call = new JobCall(this, attempt);
    call.setConnection(pool.call(request, call));
    return call;
  }

  private static String[] jobHeaders(CallAttempt attempt) {
    Rpc rpc = attempt.rpc();
    long budgetMillis = Math.max(1, (attempt.deadline() - attempt.sentAt()) / MICROS_PER_MILLI);
    List<String> headers = new ArrayList<>();
    headers.add(JobHeader.CALL_ID.line(rpc.id()));
    headers.add(JobHeader.BUDGET_MILLIS.line(budgetMillis));
    if (rpc.contentType() != null) {
      headers.add("Content-Type: " + rpc.contentType());
    }
    if (rpc.idempotencyKey() != null) {
      headers.add(JobHeader.IDEMPOTENCY_KEY.line(rpc.idempotencyKey()));
    }
    return headers.toArray(String[]::new);
  }

  /**
   * Requests the worker to cancel a job. The response is ignored, because the attempt ends without
   * waiting for the response.
   */
  void cancelJob(String callId) {
    pool.call(request("DELETE", JOBS_PATH + callId, 0), new ShortCall());
  }

  @Override
  public void checkHealth() {
    pool.call(request("GET", LOAD_PATH, 0), new HealthCheck());
  }

  /**
   * Checks whether the worker can be reached. Used as the probe of an ejected worker. The result is
   * reported to the {@link ReachabilityListener} only, not to the dispatcher.
   */
  void checkReachability() {
    pool.call(request("GET", LOAD_PATH, 0), new ReachabilityCheck());
  }

  /**
   * Reports a job call or a health check that has ended without a response to the {@link
   * ReachabilityListener}. After the outcome {@link AttemptOutcome#CONNECT_FAILED} or {@link
   * AttemptOutcome#TIMEOUT}, the worker counts as unreachable. A reset does not show that the
   * worker is unreachable, because only a host that is running sends a reset.
   */
  void reportFailure(AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.TIMEOUT) {
      reachabilityListener.unreachable();
    }
  }

  void logUnexpectedStatus(int status) {
    log.warn("unexpected job response " + this + " status=" + status);
  }

  private ByteQueue request(String method, String target, int length, String... headers) {
    ByteQueue request = new ByteQueue(dispatcher.loop().pool());
    request.append(HttpHeaders.request(method, target, hostAndPort(), length, headers));
    return request;
  }

  private String hostAndPort() {
    return pool.address().getHostString() + ":" + pool.address().getPort();
  }

  @Override
  public String toString() {
    return "worker=" + endpoint.id() + " address=" + hostAndPort();
  }

  /** A call with a short timeout. Subclasses handle the outcome, which is ignored by default. */
  private class ShortCall implements HttpExchange {
    private final long deadline = dispatcher.loop().now() + shortCallTimeoutMicros;

    @Override
    public long deadline() {
      return deadline;
    }

    @Override
    public void responseReceived(HttpMessage message) {}

    @Override
    public void failed(AttemptOutcome outcome) {}
  }

  /**
   * A call that determines whether the worker can be reached. Any response shows that the worker
   * can be reached. The listener waits for the end of this call, so each outcome is reported.
   */
  private final class ReachabilityCheck extends ShortCall {
    @Override
    public void responseReceived(HttpMessage message) {
      reachabilityListener.reachable();
    }

    @Override
    public void failed(AttemptOutcome outcome) {
      reachabilityListener.unreachable();
    }
  }

  /**
   * A call that requests the load of the worker and reports the load to the dispatcher. The call
   * also reports whether the worker can be reached.
   */
  private final class HealthCheck extends ShortCall {
    private final long sentAt = dispatcher.loop().now();

    @Override
    public void responseReceived(HttpMessage message) {
      reachabilityListener.reachable();
      if (message.status() != HttpStatus.OK) {
        dispatcher.healthChecked(endpoint.id(), AttemptOutcome.ERROR, sentAt, null);
        return;
      }
      String header = JobHeader.LOAD_REPORT.valueIn(message);
      String loadReport =
          header != null ? header : new String(message.body().toArray(), StandardCharsets.UTF_8);
      dispatcher.healthChecked(
          endpoint.id(), AttemptOutcome.OK, sentAt, LoadReport.parse(loadReport).orElse(null));
    }

    @Override
    public void failed(AttemptOutcome outcome) {
      reportFailure(outcome);
      dispatcher.healthChecked(endpoint.id(), outcome, sentAt, null);
    }
  }
}
