package loomreel.ingress;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import loomreel.core.Dispatcher;
import loomreel.core.DispatcherMetrics;
import loomreel.core.Rpc;
import loomreel.core.UnavailableStatus;
import loomreel.decision.Settings;
import loomreel.http.HttpMessage;
import loomreel.http.HttpStatus;
import loomreel.io.RateLimitedLogger;
import loomreel.upstream.JobStatusUpdate;

/**
 * Handles the requests of all {@link ClientConnection}s: readiness checks, jobs and job status
 * updates. Releases the body of each request that is not passed to the dispatcher.
 */
final class RequestHandler {
  /**
   * The recommended time before a retry of a job that is rejected for lack of capacity, in
   * microseconds. The {@code Retry-After} header of the response contains this time in seconds.
   */
  private static final long RETRY_AFTER_MICROS = 500_000;

  private static final long MICROS_PER_MILLI = 1000;

  /** The tenant index of a job that has no tenant or an unknown one. */
  private static final int NO_TENANT = -1;

  private final Dispatcher dispatcher;
  private final HttpIngress.AdmissionGate gate;
  private final RateLimitedLogger log;

  /** The indices of the request classes in the settings, by name. */
  private final Map<String, Integer> classes = new HashMap<>();

  /** The indices of the tenants in the settings, by name. */
  private final Map<String, Integer> tenants = new HashMap<>();

  private int rejectedAtAdmissionCount;

  RequestHandler(
      Dispatcher dispatcher,
      Settings settings,
      HttpIngress.AdmissionGate gate,
      RateLimitedLogger log) {
    this.dispatcher = dispatcher;
    this.gate = gate;
    this.log = log;
    for (Settings.RequestClass requestClass : settings.classes()) {
      classes.put(requestClass.name(), classes.size());
    }
    for (Settings.Tenant tenant : settings.tenants()) {
      tenants.put(tenant.name(), tenants.size());
    }
  }

  /**
   * Returns the number of jobs that were rejected since the start because the dispatcher had no
   * capacity, or because this process accepted no jobs during a client drain, with which operators
   * direct clients to other dispatchers.
   */
  int rejectedAtAdmissionCount() {
    return rejectedAtAdmissionCount;
  }

  /** Handles a request. The response is started during this call or later. */
  void handle(HttpMessage request, ClientConnection connection) {
    RequestRoute route = RequestRoute.of(request.target(), classes.keySet());
    switch (route.kind()) {
      case READINESS_CHECK -> handleReadinessCheck(request, connection);
      case STATUS_UPDATE -> handleStatusUpdate(request, connection);
      case JOB -> handleJob(request, classes.get(route.requestClass()), connection);
      case UNKNOWN -> respondAndRelease(request, connection, HttpStatus.NOT_FOUND);
    }
  }

  /** Cancels the call of a client that has disconnected or has sent too much input. */
  void cancel(Rpc rpc) {
    dispatcher.cancel(rpc);
  }

  private void handleReadinessCheck(HttpMessage request, ClientConnection connection) {
    if (!request.method().equals("GET") && !request.method().equals("HEAD")) {
      rejectMethod(request, connection, "GET, HEAD");
    } else {
      int status = gate.acceptsClients() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE;
      respondAndRelease(request, connection, status);
    }
  }

  private void handleJob(HttpMessage request, int requestClass, ClientConnection connection) {
    if (!request.method().equals("POST")) {
      rejectMethod(request, connection, "POST");
      return;
    }
    if (!gate.acceptsJobs() || !dispatcher.hasCapacity()) {
      rejectAtAdmission(request, requestClass, connection);
      return;
    }
    Optional<JobRequest> job =
        JobRequest.parse(request)
            .filter(parsed -> !dispatcher.inUse(parsed.callId()))
            .filter(parsed -> !dispatcher.isUnsafe(parsed.callId(), requestClass));
    if (job.isEmpty()) {
      request.body().release();
      connection.respond(HttpStatus.BAD_REQUEST);
      return;
    }
    connection.markProven();
    if (connection.readPendingInput()) {
      submit(request, requestClass, job.get(), connection);
    } else {
      request.body().release();
    }
  }

  /**
   * Rejects a job with status 503, because the dispatcher has no capacity or this process accepts
   * no jobs. This process accepts no jobs during a client drain, with which operators direct
   * clients to other dispatchers. In this case, the response has no {@code Retry-After} header,
   * because other dispatchers have capacity for the job at once.
   */
  private void rejectAtAdmission(
      HttpMessage request, int requestClass, ClientConnection connection) {
    rejectedAtAdmissionCount++;
    dispatcher.metrics().recordDisposition(requestClass, DispatcherMetrics.Disposition.BUSY);
    connection.closeAfterResponse();
    long retryAfterMicros = gate.acceptsJobs() ? RETRY_AFTER_MICROS : 0;
    connection.rejected(new UnavailableStatus(retryAfterMicros, "no room"));
    request.body().release();
  }

  private void submit(
      HttpMessage request, int requestClass, JobRequest job, ClientConnection connection) {
    long deadline = dispatcher.loop().now() + MICROS_PER_MILLI * job.budgetMillis();
    Rpc rpc =
        new Rpc(
            job.callId(),
            requestClass,
            request.target(),
            null,
            job.idempotencyKey(),
            request.body(),
            deadline,
            connection,
            dispatcher.metrics());
    connection.setRpc(rpc);
    int tenant = tenants.getOrDefault(job.tenant(), NO_TENANT);
    dispatcher.accept(rpc, job.toEvent(requestClass, tenant, deadline));
  }

  private void handleStatusUpdate(HttpMessage request, ClientConnection connection) {
    if (!request.method().equals("POST")) {
      rejectMethod(request, connection, "POST");
      return;
    }
    byte[] body = request.body().toArray();
    Optional<JobStatusUpdate> update = JobStatusUpdate.parse(body);
    if (update.isEmpty()) {
      log.warn("malformed job status update");
      respondAndRelease(request, connection, HttpStatus.BAD_REQUEST);
      return;
    }
    connection.markProven();
    connection.markFromWorker();
    if (dispatcher.isActive(update.get().callId())) {
      // Responds before the update is applied, because applying the update may take time and a
      // worker repeats an update that is not answered.
      connection.respond(HttpStatus.OK);
      update.get().applyTo(dispatcher);
    } else {
      // The call may be active in another process that serves as the same dispatcher, for example
      // during a hot restart. The update is forwarded to that process, and the response is sent
      // only after that process has handled the update or has disconnected. If this process
      // responded earlier, an update that does not reach the other process would be lost, because a
      // worker does not repeat an update that was answered.
      gate.forwardStatusUpdate(body, connection::statusUpdateForwarded);
    }
    request.body().release();
  }

  private static void rejectMethod(
      HttpMessage request, ClientConnection connection, String allowedMethods) {
    connection.respond(HttpStatus.METHOD_NOT_ALLOWED, "Allow: " + allowedMethods);
    request.body().release();
  }

  private static void respondAndRelease(
      HttpMessage request, ClientConnection connection, int status) {
    connection.respond(status);
    request.body().release();
  }
}
