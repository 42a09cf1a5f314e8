package loomreel.ingress;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import loomreel.core.DispatcherMetrics;
import loomreel.core.Rpc;
import loomreel.core.UnavailableStatus;
import loomreel.http.BadMessageException;
import loomreel.http.HttpConnection;
import loomreel.http.HttpHeaders;
import loomreel.http.HttpMessage;
import loomreel.http.HttpStatus;
import loomreel.io.EventLoop;
import loomreel.upstream.JobStatusUpdate;

/**
 * An accepted HTTP connection: of a client that submits jobs, of a worker that sends job status
 * updates, or of the platform's readiness check. Serves one request at a time; {@link
 * ConnectionState} has its states and their transitions.
 *
 * <p>Owned by {@link HttpIngress}, which hears of its close.
 */
final class ClientConnection extends HttpConnection implements Rpc.Caller {
  /** What becomes of a request that is received in part when its connection is to close. */
  enum PartialRequest {
    /** The rest of it is awaited and it is served. */
    AWAIT,
    /** It is rejected with status 408. */
    REJECT
  }

  private static final String NO_HEADER = "";
  private static final byte[] NO_BODY = new byte[0];

  /**
   * The time limit of the first request, counted from the connection's start, so that sending byte
   * by byte gains nothing; of each further request; of writing a response; and of the client's
   * close after the last response.
   */
  private static final long TIMEOUT_MICROS = 2_000_000;

  /** The pause after a 4xx response, which slows down clients that repeat an error at once. */
  private static final long ERROR_PAUSE_MICROS = 100_000;

  private final HttpIngress ingress;
  private final PipelinedInput pipelined;
  private ConnectionState state = ConnectionState.READING;

  /** The job that is being processed; null if there is none. */
  private Rpc rpc;

  /** The input that is being parsed: behind a complete request it has what was read along. */
  private ByteBuffer currentInput;

  /** Whether a worker is at the other end. */
  private boolean fromWorker;

  /** The timeout or pause that runs; null if there is none. */
  private EventLoop.Timer timer;

  /**
   * Takes ownership of an accepted channel.
   *
   * @throws IOException if it cannot be registered with the event loop
   */
  ClientConnection(EventLoop loop, SocketChannel channel, HttpIngress ingress) throws IOException {
    super(loop, channel, true, true);
    this.ingress = ingress;
    pipelined = new PipelinedInput(loop.pool());
    startTimeout();
  }

  /** Whether a worker is at the other end. */
  boolean isFromWorker() {
    return fromWorker;
  }

  private void apply(ConnectionState.Event event) {
    state = state.on(event);
  }

  @Override
  protected boolean acceptsMessages() {
    return state == ConnectionState.READING;
  }

  @Override
  protected void bytesReceived(ByteBuffer in) {
    if (!state.isOpen()) {
      pipelined.discard(in);
      pauseReading(pipelined.exceedsDiscardLimit());
      return;
    }
    if (state == ConnectionState.READING) {
      parse(in);
    }
    if (state.isOpen()) {
      bufferPipelined(in);
    }
  }

  private void parse(ByteBuffer in) {
    currentInput = in;
    super.bytesReceived(in);
    if (timer == null && state == ConnectionState.READING && !parser.atStart()) {
      ingress.markBusy(this);
      startTimeout();
    }
    if (state == ConnectionState.READING && parser.expectsContinue()) {
      out.append("HTTP/1.1 100 Continue\r\n\r\n");
      flush();
    }
  }

  /**
   * Buffers input behind the current request. If it has to be discarded instead, the response to
   * the current request is the last one.
   */
  private void bufferPipelined(ByteBuffer in) {
    if (pipelined.add(in)) {
      return;
    }
    apply(ConnectionState.Event.CLOSE_REQUESTED);
    if (pipelined.exceedsDiscardLimit() && rpc != null) {
      cancelJob();
      respondAndClose(HttpStatus.CONTENT_TOO_LARGE);
    }
  }

  private void startTimeout() {
    cancelTimer();
    timer = loop.schedule(loop.now() + TIMEOUT_MICROS, this::timedOut);
  }

  private void timedOut() {
    ingress.recordTimeout();
    if (state == ConnectionState.READING && !parser.atStart()) {
      respondAndClose(HttpStatus.REQUEST_TIMEOUT);
    } else {
      close();
    }
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  @Override
  protected void received(HttpMessage message) {
    cancelTimer();
    ingress.markBusy(this);
    apply(ConnectionState.Event.REQUEST_RECEIVED);
    if (!message.keepAlive()) {
      apply(ConnectionState.Event.CLOSE_REQUESTED);
    }
    RequestRoute route = RequestRoute.of(message.target(), ingress.classes.keySet());
    switch (route.kind()) {
      case READINESS_CHECK -> handleReadinessCheck(message);
      case STATUS_UPDATE -> handleStatusUpdate(message);
      case JOB -> handleJob(message, ingress.classes.get(route.requestClass()));
      case UNKNOWN -> respondAndRelease(message, HttpStatus.NOT_FOUND, NO_HEADER);
    }
  }

  private void handleReadinessCheck(HttpMessage message) {
    if (!message.method().equals("GET") && !message.method().equals("HEAD")) {
      respondAndRelease(message, HttpStatus.METHOD_NOT_ALLOWED, "Allow: GET, HEAD");
    } else {
      int status = ingress.gate.acceptsClients() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE;
      respondAndRelease(message, status, NO_HEADER);
    }
  }

  private void handleJob(HttpMessage message, int requestClass) {
    if (!message.method().equals("POST")) {
      respondAndRelease(message, HttpStatus.METHOD_NOT_ALLOWED, "Allow: POST");
      return;
    }
    if (!ingress.hasJobCapacity()) {
      ingress
          .dispatcher
          .metrics()
          .recordDisposition(requestClass, DispatcherMetrics.Disposition.BUSY);
      apply(ConnectionState.Event.CLOSE_REQUESTED);
      rejected(ingress.noCapacity());
      message.body().release();
      return;
    }
    Optional<JobRequest> request =
        JobRequest.parse(message).filter(job -> !ingress.dispatcher.inUse(job.callId()));
    if (request.isEmpty()) {
      message.body().release();
      respond(HttpStatus.BAD_REQUEST, NO_BODY, NO_HEADER);
      return;
    }
    ingress.markProven(this);
    if (readPendingInput()) {
      submit(message, requestClass, request.get());
    } else {
      message.body().release();
    }
  }

  /**
   * Reads all that has come by now, behind the current request.
   *
   * @return whether the client is still there
   */
  private boolean readPendingInput() {
    if (hasPipelinedInput()) {
      // Read earlier than what the channel holds.
      bufferPipelined(currentInput);
    }
    boolean mayHaveMore = true;
    while (mayHaveMore && state.isOpen() && !pipelined.exceedsDiscardLimit()) {
      mayHaveMore = readNow();
    }
    return state.isOpen();
  }

  private void submit(HttpMessage message, int requestClass, JobRequest job) {
    long deadline = loop.now() + 1000 * job.budgetMillis();
    rpc =
        new Rpc(
            job.callId(),
            requestClass,
            message.target(),
            null,
            job.idempotencyKey(),
            message.body(),
            deadline,
            this,
            ingress.dispatcher.metrics());
    int tenant = ingress.tenants.getOrDefault(job.tenant(), -1);
    ingress.dispatcher.accept(rpc, job.toEvent(requestClass, tenant, deadline));
  }

  private void handleStatusUpdate(HttpMessage message) {
    if (!message.method().equals("POST")) {
      respondAndRelease(message, HttpStatus.METHOD_NOT_ALLOWED, "Allow: POST");
      return;
    }
    byte[] body = message.body().toArray();
    Optional<JobStatusUpdate> update = JobStatusUpdate.parse(body);
    if (update.isEmpty()) {
      ingress.log.warn("malformed job status update");
      respondAndRelease(message, HttpStatus.BAD_REQUEST, NO_HEADER);
      return;
    }
    ingress.markProven(this);
    fromWorker = true;
    if (ingress.dispatcher.isActive(update.get().callId())) {
      // Responded to first: a worker repeats what is unanswered, and the rest may take a while.
      respond(HttpStatus.OK, NO_BODY, NO_HEADER);
      update.get().applyTo(ingress.dispatcher);
    } else {
      // Responded to once the other process has it: nobody would repeat what is lost on the way.
      ingress.gate.forwardStatusUpdate(body, this::statusUpdateForwarded);
    }
    message.body().release();
  }

  private void statusUpdateForwarded() {
    if (!isClosed()) {
      respond(HttpStatus.OK, NO_BODY, NO_HEADER);
    }
  }

  @Override
  public void served(byte[] result) {
    respond(HttpStatus.OK, result, NO_HEADER);
  }

  @Override
  public void rejected(UnavailableStatus status) {
    String retryAfter =
        status.retryAfter() == 0
            ? NO_HEADER
            : String.format(Locale.ROOT, "Retry-After: %.3f", status.retryAfter() / 1e6);
    respond(HttpStatus.SERVICE_UNAVAILABLE, NO_BODY, retryAfter);
  }

  @Override
  public void failed() {
    respond(HttpStatus.INTERNAL_SERVER_ERROR, NO_BODY, NO_HEADER);
  }

  private void respondAndRelease(HttpMessage message, int status, String header) {
    respond(status, NO_BODY, header);
    message.body().release();
  }

  /** Starts a response, the last one if the connection is to close. */
  private void respond(int status, byte[] body, String header) {
    // Pipelined input was accepted, so it is served before the connection closes.
    boolean isFinal =
        state.isFinal() || (ingress.gate.isFinalResponse(fromWorker) && pipelined.isEmpty());
    if (isFinal) {
      startResponse(ConnectionState.Event.FINAL_RESPONSE_STARTED, status, body, header);
    } else if (HttpStatus.isClientError(status)) {
      startResponse(ConnectionState.Event.ERROR_RESPONSE_STARTED, status, body, header);
    } else {
      startResponse(ConnectionState.Event.RESPONSE_STARTED, status, body, header);
    }
  }

  /** Starts the last response: nothing that follows on the connection can be parsed. */
  private void respondAndClose(int status) {
    startResponse(ConnectionState.Event.FINAL_RESPONSE_STARTED, status, NO_BODY, NO_HEADER);
  }

  private void startResponse(ConnectionState.Event event, int status, byte[] body, String header) {
    rpc = null;
    apply(event);
    List<String> headers = new ArrayList<>(2);
    if (!header.isEmpty()) {
      headers.add(header);
    }
    if (state.isFinal()) {
      headers.add("Connection: close");
    }
    out.append(HttpHeaders.response(status, body.length, headers.toArray(String[]::new)));
    out.append(body);
    startTimeout();
    flush();
  }

  @Override
  protected void malformed(BadMessageException error) {
    ingress.log.info("malformed request reason=" + error.getMessage());
    ingress.markBusy(this);
    respondAndClose(error.status());
  }

  @Override
  protected void flushed() {
    if (!state.isResponding()) {
      // An interim response, 100 Continue, was written.
      return;
    }
    cancelTimer();
    apply(ConnectionState.Event.RESPONSE_WRITTEN);
    switch (state) {
      case READING -> resumeReading();
      case PAUSED -> timer = loop.schedule(loop.now() + ERROR_PAUSE_MICROS, this::pauseEnded);
      default -> shutDownOutput();
    }
  }

  private void pauseEnded() {
    timer = null;
    apply(ConnectionState.Event.PAUSE_ENDED);
    if (state == ConnectionState.READING) {
      resumeReading();
    } else {
      shutDownOutput();
    }
  }

  private void resumeReading() {
    if (!pipelined.isEmpty()) {
      // Before anything is read from the channel, which came later.
      bytesReceived(ByteBuffer.wrap(pipelined.takeAll()));
    }
    if (state == ConnectionState.READING && parser.atStart()) {
      ingress.markIdle(this);
    }
  }

  /**
   * Closes the connection gracefully if it is between two requests. What has come is read first,
   * and a request that is complete is served, so that as few requests as possible cross the close.
   *
   * @param partialRequest what becomes of a request that is received in part
   */
  void closeIfIdle(PartialRequest partialRequest) {
    if (state != ConnectionState.READING) {
      return;
    }
    trace("letgo");
    readNow();
    if (state != ConnectionState.READING) {
      return;
    }
    if (parser.atStart()) {
      apply(ConnectionState.Event.OUTPUT_SHUT_DOWN);
      shutDownOutput();
    } else if (partialRequest == PartialRequest.REJECT) {
      respondAndClose(HttpStatus.REQUEST_TIMEOUT);
    }
  }

  /**
   * Ends the output; the input is discarded until the client closes or {@link #TIMEOUT_MICROS} are
   * over. Closing at once would reset the connection if there is unread input, and the client could
   * lose the response.
   */
  private void shutDownOutput() {
    ingress.markHalfClosed(this);
    trace("shut");
    endOutput();
    if (!isClosed()) {
      startTimeout();
    }
  }

  private void trace(String event) {
    if (loop.trace() != null) {
      loop.trace().line(loop.now(), event);
    }
  }

  @Override
  protected void broken() {
    cancelJob();
  }

  private void cancelJob() {
    if (rpc != null) {
      Rpc cancelled = rpc;
      rpc = null;
      ingress.dispatcher.cancel(cancelled);
    }
  }

  @Override
  public void close() {
    if (!isClosed()) {
      cancelJob();
      super.close();
      apply(ConnectionState.Event.CLOSED);
      pipelined.release();
      cancelTimer();
      ingress.remove(this);
    }
  }
}
