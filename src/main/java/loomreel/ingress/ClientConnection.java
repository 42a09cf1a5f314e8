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

/**
 * An accepted HTTP connection: of a client that submits jobs, of a worker that sends job status
 * updates, or of the platform's readiness check. Processes one request at a time, which {@link
 * RequestHandler} handles; {@link ClientConnectionState} has its states and their transitions.
 *
 * <p>Owned by {@link HttpIngress}, which is notified of its close.
 */
final class ClientConnection extends HttpConnection implements Rpc.Caller {
  /** How a request that is received in part is handled when its connection is to close. */
  enum PartialRequest {
    /** The rest of it is awaited, and it is processed. */
    AWAIT,
    /** It is rejected with status 408. */
    REJECT
  }

  private static final String CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n";
  private static final String NO_HEADER = "";
  private static final byte[] NO_BODY = new byte[0];
  private static final double MICROS_PER_SECOND = 1e6;

  // Names of trace events.
  private static final String TRACE_CLOSED_WHILE_IDLE = "letgo";
  private static final String TRACE_OUTPUT_SHUT_DOWN = "shut";

  /**
   * The time limit of the first request, counted from the connection's start, so that sending byte
   * by byte does not extend it; of each further request; of writing a response; and of the client's
   * close after the last response.
   */
  private static final long TIMEOUT_MICROS = 2_000_000;

  /** The pause after a 4xx response, which limits the rate of clients that repeat an error. */
  private static final long ERROR_PAUSE_MICROS = 100_000;

  private final HttpIngress ingress;
  private final RequestHandler handler;
  private final PipelinedInput pipelined;
  private ClientConnectionState state = ClientConnectionState.READING;

  /** The job that is being processed; null if there is none. */
  private Rpc rpc;

  /** The input that is being parsed: it may have pipelined input behind a complete request. */
  private ByteBuffer currentInput;

  /** Whether the peer is a worker. */
  private boolean fromWorker;

  /** The pending timeout or pause; null if there is none. */
  private EventLoop.Timer timer;

  /**
   * Takes ownership of an accepted channel.
   *
   * @throws IOException if it cannot be registered with the event loop
   */
  ClientConnection(
      EventLoop loop, SocketChannel channel, HttpIngress ingress, RequestHandler handler)
      throws IOException {
    super(loop, channel, true, true);
    this.ingress = ingress;
    this.handler = handler;
    pipelined = new PipelinedInput(loop.pool());
    startTimeout();
  }

  /** Whether the peer is a worker. */
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
    if (!state.isOpen()) {
      pipelined.discard(in);
      pauseReading(pipelined.exceedsDiscardLimit());
      return;
    }
    if (state == ClientConnectionState.READING) {
      parse(in);
    }
    if (state.isOpen()) {
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
  }

  /**
   * Buffers input behind the current request. If it has to be discarded instead, the response to
   * the current request is the last one.
   */
  private void bufferPipelined(ByteBuffer in) {
    if (pipelined.add(in)) {
      return;
    }
    apply(ClientConnectionState.Event.CLOSE_REQUESTED);
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
    ingress.markBusy(this);
    apply(ClientConnectionState.Event.REQUEST_RECEIVED);
    if (!message.keepAlive()) {
      apply(ClientConnectionState.Event.CLOSE_REQUESTED);
    }
    handler.handle(message, this);
  }

  /**
   * Reads all input that has arrived by now behind the current request.
   *
   * @return whether the connection is still open
   */
  boolean readPendingInput() {
    if (hasPipelinedInput()) {
      // It precedes the input that is still in the channel.
      bufferPipelined(currentInput);
    }
    boolean mayHaveMore = true;
    while (mayHaveMore && state.isOpen() && !pipelined.exceedsDiscardLimit()) {
      mayHaveMore = readNow();
    }
    return state.isOpen();
  }

  /** Sets the job that is being processed, whose end this connection responds with. */
  void setRpc(Rpc newRpc) {
    rpc = newRpc;
  }

  /** Lets the connection end after the response to the current request. */
  void closeAfterResponse() {
    apply(ClientConnectionState.Event.CLOSE_REQUESTED);
  }

  /** The client has sent a job or a job status update. */
  void markProven() {
    ingress.markProven(this);
  }

  /** Records that the peer is a worker. */
  void markFromWorker() {
    fromWorker = true;
  }

  /** The other process has handled the status update that was received last. */
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

  /** Starts a response without a body. */
  void respond(int status) {
    respond(status, NO_BODY, NO_HEADER);
  }

  /**
   * Starts a response without a body.
   *
   * @param header a header line without its line end
   */
  void respond(int status, String header) {
    respond(status, NO_BODY, header);
  }

  /** Starts a response, the last one if the connection is to close. */
  private void respond(int status, byte[] body, String header) {
    // Pipelined requests were accepted, so they are processed before the connection closes.
    boolean isFinal =
        state.isFinal() || (ingress.isFinalResponse(fromWorker) && pipelined.isEmpty());
    if (isFinal) {
      startResponse(ClientConnectionState.Event.FINAL_RESPONSE_STARTED, status, body, header);
    } else if (HttpStatus.isClientError(status)) {
      startResponse(ClientConnectionState.Event.ERROR_RESPONSE_STARTED, status, body, header);
    } else {
      startResponse(ClientConnectionState.Event.RESPONSE_STARTED, status, body, header);
    }
  }

  /** Starts the last response: no further input of the connection can be parsed. */
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
    flush();
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
      // An interim response, 100 Continue, was written.
      return;
    }
    cancelTimer();
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
    if (!pipelined.isEmpty()) {
      // It precedes the input that is still in the channel.
      bytesReceived(ByteBuffer.wrap(pipelined.takeAll()));
    }
    if (state == ClientConnectionState.READING && parser.atStart()) {
      ingress.markIdle(this);
    }
  }

  /**
   * Closes the connection gracefully if it is between two requests. Input that has arrived is read
   * first, and a complete request is processed, so that as few requests as possible cross the
   * close.
   *
   * @param partialRequest how a request that is received in part is handled
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
   * Ends the output; the input is discarded until the client closes or {@link #TIMEOUT_MICROS} have
   * passed. Closing at once would reset the connection if there is unread input, and the client
   * could lose the response.
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
      pipelined.release();
      cancelTimer();
      ingress.remove(this);
    }
  }
}
