package loomreel.ingress;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import loomreel.core.Rpc;
import loomreel.core.UnavailableStatus;
import loomreel.http.BadMessageException;
import loomreel.http.HttpConnection;
import loomreel.http.HttpHeaders;
import loomreel.http.HttpMessage;
import loomreel.http.HttpStatus;
import loomreel.io.EventLoop;
import loomreel.io.StalledConnections;

/**
 * An accepted HTTP connection. The peer is a client that submits jobs, a worker that sends job
 * status updates, or the platform, which checks readiness. The connection receives one request at a
 * time and passes each complete request to {@link RequestHandler}. {@link ClientConnectionState}
 * lists the states of a connection and the transitions between them.
 *
 * <p>Owned by {@link HttpIngress}, which is notified when the connection closes.
 */
final class ClientConnection extends HttpConnection implements Rpc.Caller {
  /** What happens to a partially received request when its connection is to be closed. */
  enum PartialRequest {
    /** The rest of the request is awaited, and the request is processed. */
    AWAIT,
    /** The request is rejected with status 408. */
    REJECT
  }

  private static final String CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n";
  private static final String NO_HEADER = "";
  private static final byte[] NO_BODY = new byte[0];
  private static final double MICROS_PER_SECOND = 1e6;

  // The names of trace events. The method closeIfIdle writes the first event before it reads the
  // pending input. If this input contains a request, the connection may stay open.
  private static final String TRACE_CLOSED_WHILE_IDLE = "letgo";
  private static final String TRACE_OUTPUT_SHUT_DOWN = "shut";

  /**
   * The timeout, in microseconds, of each of these phases: receiving the first request, counted
   * from the accept of the connection; receiving each further request, counted from its first byte;
   * writing a response; and waiting for the client to close the connection after the last response.
   * Input that arrives slowly, byte by byte, does not extend the timeout.
   */
  private static final long TIMEOUT_MICROS = 2_000_000;

  /**
   * The time after a 4xx response during which no further request is read, in microseconds. The
   * pause limits the request rate of clients that repeat an error.
   */
  private static final long ERROR_PAUSE_MICROS = 100_000;

  private final HttpIngress ingress;
  private final RequestHandler handler;
  private final PipelinedInput pipelinedInput;
  private ClientConnectionState state = ClientConnectionState.READING;

  /** The call that is being processed; null if there is none. */
  private Rpc rpc;

  /** The buffer that is being parsed. After a complete request, it may contain pipelined input. */
  private ByteBuffer currentInput;

  /**
   * Whether the peer is known to be a worker. False until the peer has sent a job status update.
   */
  private boolean fromWorker;

  /** The timer of the current timeout or pause; null if neither is pending. */
  private EventLoop.Timer timer;

  /**
   * Creates a connection, which takes ownership of an accepted channel.
   *
   * @throws IOException if the channel cannot be registered with the event loop
   */
  ClientConnection(
      EventLoop loop, SocketChannel channel, HttpIngress ingress, RequestHandler handler)
      throws IOException {
    super(loop, channel, true, true);
    this.ingress = ingress;
    this.handler = handler;
    pipelinedInput = new PipelinedInput(loop.pool());
    startTimeout();
  }

  /** Returns whether the peer is known to be a worker. */
  boolean isFromWorker() {
    return fromWorker;
  }

  private void apply(ClientConnectionState.Event event) {
    state = state.on(event);
  }

  @Override
  protected boolean acceptsMessages() {
    return state == ClientConnectionState.READING;
  }

  @Override
  protected void bytesReceived(ByteBuffer in) {
    if (!state.isOutputOpen()) {
      pipelinedInput.discard(in);
      pauseReading(pipelinedInput.exceedsDiscardLimit());
      return;
    }
    if (state == ClientConnectionState.READING) {
      parse(in);
    }
    if (state.isOutputOpen()) {
      bufferPipelined(in);
    }
  }

  private void parse(ByteBuffer in) {
    currentInput = in;
    super.bytesReceived(in);
    if (timer == null && state == ClientConnectionState.READING && !parser.atStart()) {
      ingress.markBusy(this);
      startTimeout();
    }
    if (state == ClientConnectionState.READING && parser.expectsContinue()) {
      out.append(CONTINUE_RESPONSE);
      flush();
    }
    if (state == ClientConnectionState.READING && !parser.atStart()) {
      loop.stalledConnections().add(this, StalledConnections.Eviction.WHEN_SCARCE);
    }
  }

  /** Rejects a request that has been received partially, and discards a response that is unread. */
  @Override
  protected void evict() {
    ingress.recordEviction();
    if (state == ClientConnectionState.READING) {
      parser.release();
      respondAndClose(HttpStatus.SERVICE_UNAVAILABLE);
    } else {
      close();
    }
  }

  /**
   * Buffers input that follows the current request. If {@link PipelinedInput} discards the input,
   * the connection is closed after the response to the current request. If the discard limit is
   * exceeded while a job is being processed, the job is cancelled and the response has status 413.
   */
  private void bufferPipelined(ByteBuffer in) {
    if (pipelinedInput.add(in)) {
      return;
    }
    apply(ClientConnectionState.Event.CLOSE_REQUESTED);
    if (pipelinedInput.exceedsDiscardLimit() && rpc != null) {
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
    if (state == ClientConnectionState.READING && !parser.atStart()) {
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
    loop.stalledConnections().remove(this);
    ingress.markBusy(this);
    apply(ClientConnectionState.Event.REQUEST_RECEIVED);
    if (!message.keepAlive()) {
      apply(ClientConnectionState.Event.CLOSE_REQUESTED);
    }
    handler.handle(message, this);
  }

  /**
   * Reads and buffers all input that has arrived after the current request. If there is more than
   * the discard limit, rejects the request with status 413.
   *
   * @return whether the request may be processed; false if it was rejected or the client has
   *     disconnected
   */
  boolean readPendingInput() {
    if (hasPipelinedInput()) {
      // This input precedes the input that is still in the channel.
      bufferPipelined(currentInput);
    }
    boolean mayHaveMore = true;
    while (mayHaveMore && state.isOutputOpen() && !pipelinedInput.exceedsDiscardLimit()) {
      mayHaveMore = readNow();
    }
    if (state.isOutputOpen() && pipelinedInput.exceedsDiscardLimit()) {
      // The end of the input is not reached: the client may have disconnected long ago.
      respondAndClose(HttpStatus.CONTENT_TOO_LARGE);
      return false;
    }
    return state.isOutputOpen();
  }

  /** Sets the call that is being processed. The answer to the call is sent as the response. */
  void setRpc(Rpc newRpc) {
    rpc = newRpc;
  }

  /** Closes the connection after the response to the current request. */
  void closeAfterResponse() {
    apply(ClientConnectionState.Event.CLOSE_REQUESTED);
  }

  /** Records that the peer has sent a job or a job status update. */
  void markProven() {
    ingress.markProven(this);
  }

  /** Records that the peer is a worker. */
  void markFromWorker() {
    fromWorker = true;
  }

  /**
   * Responds to the current request, which is a job status update, after {@link
   * HttpIngress.AdmissionGate#forwardStatusUpdate} has completed. Does nothing if the connection is
   * closed.
   */
  void statusUpdateForwarded() {
    if (!isClosed()) {
      respond(HttpStatus.OK);
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
            : String.format(
                Locale.ROOT, "Retry-After: %.3f", status.retryAfter() / MICROS_PER_SECOND);
    respond(HttpStatus.SERVICE_UNAVAILABLE, retryAfter);
  }

  @Override
  public void failed() {
    respond(HttpStatus.INTERNAL_SERVER_ERROR);
  }

  /** Starts a response without a body and without an additional header. */
  void respond(int status) {
    respond(status, NO_BODY, NO_HEADER);
  }

  /**
   * Starts a response without a body.
   *
   * @param header an additional header line, without the line end
   */
  void respond(int status, String header) {
    respond(status, NO_BODY, header);
  }

  /**
   * Starts a response. If the connection is to be closed, the response is the last one on it.
   *
   * @param header an additional header line, without the line end, or {@link #NO_HEADER}
   */
  private void respond(int status, byte[] body, String header) {
    // While pipelined input is buffered, the admission gate does not end the connection: the
    // buffered requests have been read already, so they are processed before the close.
    boolean isFinal =
        state.isFinal() || (ingress.isFinalResponse(fromWorker) && pipelinedInput.isEmpty());
    if (isFinal) {
      startResponse(ClientConnectionState.Event.FINAL_RESPONSE_STARTED, status, body, header);
    } else if (HttpStatus.isClientError(status)) {
      startResponse(ClientConnectionState.Event.ERROR_RESPONSE_STARTED, status, body, header);
    } else {
      startResponse(ClientConnectionState.Event.RESPONSE_STARTED, status, body, header);
    }
  }

  /** Starts the last response on this connection. Used if no further input can be parsed. */
  private void respondAndClose(int status) {
    startResponse(ClientConnectionState.Event.FINAL_RESPONSE_STARTED, status, NO_BODY, NO_HEADER);
  }

  private void startResponse(
      ClientConnectionState.Event event, int status, byte[] body, String header) {
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
    loop.stalledConnections().remove(this);
    flush();
    if (!isClosed() && out.length() > 0) {
      loop.stalledConnections().add(this, StalledConnections.Eviction.WHEN_SCARCE);
    }
  }

  @Override
  protected void malformed(BadMessageException error) {
    ingress.logMalformedRequest(error);
    ingress.markBusy(this);
    respondAndClose(error.status());
  }

  @Override
  protected void flushed() {
    if (!state.isResponding()) {
      // The output that was written is an interim response, 100 Continue.
      return;
    }
    cancelTimer();
    loop.stalledConnections().remove(this);
    apply(ClientConnectionState.Event.RESPONSE_WRITTEN);
    switch (state) {
      case READING -> resumeReading();
      case PAUSED -> timer = loop.schedule(loop.now() + ERROR_PAUSE_MICROS, this::pauseEnded);
      default -> shutDownOutput();
    }
  }

  private void pauseEnded() {
    timer = null;
    apply(ClientConnectionState.Event.PAUSE_ENDED);
    if (state == ClientConnectionState.READING) {
      resumeReading();
    } else {
      shutDownOutput();
    }
  }

  private void resumeReading() {
    if (!pipelinedInput.isEmpty()) {
      // This input precedes the input that is still in the channel.
      bytesReceived(ByteBuffer.wrap(pipelinedInput.takeAll()));
    }
    if (state == ClientConnectionState.READING && parser.atStart()) {
      ingress.markIdle(this);
    }
  }

  /**
   * Closes the connection gracefully if it is waiting for a request. Input that has already arrived
   * is read first. If this input completes a request, the request is processed and this method does
   * not close the connection. Reading first reduces the number of requests that are discarded
   * because the client sent them before it noticed the close.
   *
   * @param partialRequest what happens to a request that has been received partially
   */
  void closeIfIdle(PartialRequest partialRequest) {
    if (state != ClientConnectionState.READING) {
      return;
    }
    trace(TRACE_CLOSED_WHILE_IDLE);
    readNow();
    if (state != ClientConnectionState.READING) {
      return;
    }
    if (parser.atStart()) {
      apply(ClientConnectionState.Event.OUTPUT_SHUT_DOWN);
      shutDownOutput();
    } else if (partialRequest == PartialRequest.REJECT) {
      respondAndClose(HttpStatus.REQUEST_TIMEOUT);
    }
  }

  /**
   * Shuts the output down. From then on, input is discarded until the client closes the connection
   * or {@link #TIMEOUT_MICROS} have passed. If the connection were closed at once while input is
   * unread, it would be reset, and the client could lose the response.
   */
  private void shutDownOutput() {
    ingress.markHalfClosed(this);
    trace(TRACE_OUTPUT_SHUT_DOWN);
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
      handler.cancel(cancelled);
    }
  }

  @Override
  public void close() {
    if (!isClosed()) {
      cancelJob();
      super.close();
      apply(ClientConnectionState.Event.CLOSED);
      pipelinedInput.release();
      cancelTimer();
      ingress.remove(this);
    }
  }
}
