package loomreel.ingress;

/**
 * The states of a client connection, which processes one request at a time.
 *
 * <p>The table lists all transitions. An event that has no entry for a state is a programming
 * error.
 *
 * <table>
 *   <caption>Next state by state and event</caption>
 *   <tr><th>State</th><th>Event</th><th>Next state</th></tr>
 *   <tr><td>{@link #READING}</td><td>{@link Event#REQUEST_RECEIVED}</td>
 *       <td>{@link #PROCESSING}</td></tr>
 *   <tr><td>{@link #READING}</td><td>{@link Event#FINAL_RESPONSE_STARTED}</td>
 *       <td>{@link #RESPONDING_FINAL}</td></tr>
 *   <tr><td>{@link #READING}</td><td>{@link Event#OUTPUT_SHUT_DOWN}</td>
 *       <td>{@link #HALF_CLOSED}</td></tr>
 *   <tr><td>{@link #PROCESSING}</td><td>{@link Event#CLOSE_REQUESTED}</td>
 *       <td>{@link #PROCESSING_FINAL}</td></tr>
 *   <tr><td>{@link #PROCESSING}</td><td>{@link Event#RESPONSE_STARTED}</td>
 *       <td>{@link #RESPONDING}</td></tr>
 *   <tr><td>{@link #PROCESSING}</td><td>{@link Event#ERROR_RESPONSE_STARTED}</td>
 *       <td>{@link #RESPONDING_ERROR}</td></tr>
 *   <tr><td>{@link #PROCESSING}</td><td>{@link Event#FINAL_RESPONSE_STARTED}</td>
 *       <td>{@link #RESPONDING_FINAL}</td></tr>
 *   <tr><td>{@link #PROCESSING_FINAL}</td><td>{@link Event#CLOSE_REQUESTED}</td>
 *       <td>{@link #PROCESSING_FINAL}</td></tr>
 *   <tr><td>{@link #PROCESSING_FINAL}</td><td>{@link Event#FINAL_RESPONSE_STARTED}</td>
 *       <td>{@link #RESPONDING_FINAL}</td></tr>
 *   <tr><td>{@link #RESPONDING}</td><td>{@link Event#RESPONSE_WRITTEN}</td>
 *       <td>{@link #READING}</td></tr>
 *   <tr><td>{@link #RESPONDING}</td><td>{@link Event#CLOSE_REQUESTED}</td>
 *       <td>{@link #RESPONDING_FINAL}</td></tr>
 *   <tr><td>{@link #RESPONDING_ERROR}</td><td>{@link Event#RESPONSE_WRITTEN}</td>
 *       <td>{@link #PAUSED}</td></tr>
 *   <tr><td>{@link #RESPONDING_ERROR}</td><td>{@link Event#CLOSE_REQUESTED}</td>
 *       <td>{@link #RESPONDING_FINAL}</td></tr>
 *   <tr><td>{@link #RESPONDING_FINAL}</td><td>{@link Event#CLOSE_REQUESTED}</td>
 *       <td>{@link #RESPONDING_FINAL}</td></tr>
 *   <tr><td>{@link #RESPONDING_FINAL}</td><td>{@link Event#RESPONSE_WRITTEN}</td>
 *       <td>{@link #HALF_CLOSED}</td></tr>
 *   <tr><td>{@link #PAUSED}</td><td>{@link Event#PAUSE_ENDED}</td>
 *       <td>{@link #READING}</td></tr>
 *   <tr><td>{@link #PAUSED}</td><td>{@link Event#CLOSE_REQUESTED}</td>
 *       <td>{@link #PAUSED_FINAL}</td></tr>
 *   <tr><td>{@link #PAUSED_FINAL}</td><td>{@link Event#CLOSE_REQUESTED}</td>
 *       <td>{@link #PAUSED_FINAL}</td></tr>
 *   <tr><td>{@link #PAUSED_FINAL}</td><td>{@link Event#PAUSE_ENDED}</td>
 *       <td>{@link #HALF_CLOSED}</td></tr>
 *   <tr><td>any</td><td>{@link Event#CLOSED}</td><td>{@link #CLOSED}</td></tr>
 * </table>
 */
enum ClientConnectionState {
  /** The connection waits for a request, or has received a part of one. */
  READING,
  /** A complete request has been received and its response has not been started. */
  PROCESSING,
  /**
   * A complete request has been received and its response has not been started, as in {@link
   * #PROCESSING}. The connection is closed after the response.
   */
  PROCESSING_FINAL,
  /** The response is being written. */
  RESPONDING,
  /** A response with a 4xx status is being written. */
  RESPONDING_ERROR,
  /** The last response on this connection is being written. */
  RESPONDING_FINAL,
  /** A response with a 4xx status has been written, and the next request is not read yet. */
  PAUSED,
  /**
   * A response with a 4xx status has been written, and the next request is not read yet, as in
   * {@link #PAUSED}. The connection is closed after the pause.
   */
  PAUSED_FINAL,
  /** The output is shut down, and input is discarded until the client closes the connection. */
  HALF_CLOSED,
  /** The connection is closed. */
  CLOSED;

  /** The events that change the state of a connection. */
  enum Event {
    /** A complete request has been received. */
    REQUEST_RECEIVED,
    /**
     * The connection is to be closed after the response to the current request or, if no request is
     * being processed, after the current pause.
     */
    CLOSE_REQUESTED,
    /** A response without a 4xx status has been started. The connection stays open after it. */
    RESPONSE_STARTED,
    /** A response with a 4xx status has been started. The connection stays open after it. */
    ERROR_RESPONSE_STARTED,
    /** The last response on this connection has been started. */
    FINAL_RESPONSE_STARTED,
    /** The response has been written completely. */
    RESPONSE_WRITTEN,
    /** The pause after a response with a 4xx status is over. */
    PAUSE_ENDED,
    /** The output of an idle connection is being shut down. */
    OUTPUT_SHUT_DOWN,
    /** The connection has been closed. */
    CLOSED
  }

  /**
   * Returns the state after an event.
   *
   * @throws IllegalStateException if the table has no entry for the event in this state
   */
  ClientConnectionState on(Event event) {
    if (event == Event.CLOSED) {
      return CLOSED;
    }
    return switch (this) {
      case READING ->
          switch (event) {
            case REQUEST_RECEIVED -> PROCESSING;
            case FINAL_RESPONSE_STARTED -> RESPONDING_FINAL;
            case OUTPUT_SHUT_DOWN -> HALF_CLOSED;
            default -> throw illegalTransition(event);
          };
      case PROCESSING ->
          switch (event) {
            case CLOSE_REQUESTED -> PROCESSING_FINAL;
            case RESPONSE_STARTED -> RESPONDING;
            case ERROR_RESPONSE_STARTED -> RESPONDING_ERROR;
            case FINAL_RESPONSE_STARTED -> RESPONDING_FINAL;
            default -> throw illegalTransition(event);
          };
      case PROCESSING_FINAL ->
          switch (event) {
            case CLOSE_REQUESTED -> PROCESSING_FINAL;
            case FINAL_RESPONSE_STARTED -> RESPONDING_FINAL;
            default -> throw illegalTransition(event);
          };
      case RESPONDING, RESPONDING_ERROR, RESPONDING_FINAL ->
          switch (event) {
            case CLOSE_REQUESTED -> RESPONDING_FINAL;
            case RESPONSE_WRITTEN -> afterResponse();
            default -> throw illegalTransition(event);
          };
      case PAUSED, PAUSED_FINAL ->
          switch (event) {
            case CLOSE_REQUESTED -> PAUSED_FINAL;
            case PAUSE_ENDED -> this == PAUSED ? READING : HALF_CLOSED;
            default -> throw illegalTransition(event);
          };
      case HALF_CLOSED, CLOSED -> throw illegalTransition(event);
    };
  }

  private ClientConnectionState afterResponse() {
    return switch (this) {
      case RESPONDING -> READING;
      case RESPONDING_ERROR -> PAUSED;
      default -> HALF_CLOSED;
    };
  }

  private IllegalStateException illegalTransition(Event event) {
    return new IllegalStateException(event + " in state " + this);
  }

  /**
   * Returns whether responses can be sent, which means that the state is neither {@link
   * #HALF_CLOSED} nor {@link #CLOSED}.
   */
  boolean isOutputOpen() {
    return this != HALF_CLOSED && this != CLOSED;
  }

  /** Returns whether a response has been started and has not been written completely. */
  boolean isResponding() {
    return this == RESPONDING || this == RESPONDING_ERROR || this == RESPONDING_FINAL;
  }

  /**
   * Returns whether the connection is to be closed after the current response or the current pause.
   */
  boolean isFinal() {
    return this == PROCESSING_FINAL || this == RESPONDING_FINAL || this == PAUSED_FINAL;
  }
}
