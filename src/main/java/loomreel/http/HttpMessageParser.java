package loomreel.http;

import java.nio.ByteBuffer;
import java.util.regex.Pattern;
import loomreel.io.BufferPool;
import loomreel.io.ByteQueue;

/**
 * An incremental parser of HTTP/1.1 requests or responses. The input may be split at any byte. The
 * parser owns the buffers of the message that it is parsing until the message is returned or {@link
 * #release} is called.
 *
 * <table>
 *   <caption>State transitions. At the end of a message, the next state is HEAD.</caption>
 *   <tr><th>state</th><th>input</th><th>next state</th></tr>
 *   <tr><td>HEAD</td><td>head with a Content-Length</td><td>FIXED_BODY</td></tr>
 *   <tr><td>HEAD</td><td>head with chunked transfer coding</td><td>CHUNK_SIZE</td></tr>
 *   <tr><td>HEAD</td><td>head of a response without either</td><td>BODY_UNTIL_CLOSE</td></tr>
 *   <tr><td>HEAD</td><td>head of an interim response</td><td>HEAD</td></tr>
 *   <tr><td>CHUNK_SIZE</td><td>size of a chunk</td><td>CHUNK_DATA</td></tr>
 *   <tr><td>CHUNK_SIZE</td><td>size 0</td><td>TRAILER</td></tr>
 *   <tr><td>CHUNK_DATA</td><td>last byte of the chunk</td><td>CHUNK_END</td></tr>
 *   <tr><td>CHUNK_END</td><td>line end</td><td>CHUNK_SIZE</td></tr>
 * </table>
 */
public final class HttpMessageParser {
  /** The maximum size of a body, in bytes. */
  public static final int MAX_BODY = 64 * 1024;

  /**
   * The maximum length of a line in a chunked body, in bytes. The limit applies to the line that
   * has the size of a chunk. It also applies to the line that follows the data of a chunk. This
   * line must be empty.
   */
  private static final int MAX_CHUNK_LINE_BYTES = 256;

  private static final int HEX_RADIX = 16;
  private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}");
  private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,15}");
  private static final String CHUNKED = "chunked";
  static final String EXPECT_HEADER = "expect";
  private static final String CONTINUE_EXPECTATION = "100-continue";

  private enum State {
    HEAD,
    FIXED_BODY,
    BODY_UNTIL_CLOSE,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILER
  }

  private final BufferPool pool;
  private final boolean parsesRequests;
  private final HeadReader headReader;
  private final LineReader lineReader = new LineReader();
  private State state = State.HEAD;

  /** The total length of the trailer lines that have arrived, in bytes without their line ends. */
  private int trailerLength;

  /**
   * The head of the current message, or of an interim response before it. Null while the head is
   * incomplete.
   */
  private HttpHead head;

  /**
   * The part of the current body that has arrived. Null in state HEAD, except after an interim
   * response, when it is empty.
   */
  private ByteQueue body;

  private boolean keepAlive;

  /**
   * Whether the head of the current message is complete and {@link #testAndClearHeadReceived} has
   * not been called since then. The head of an interim response does not count.
   */
  private boolean hasUnreportedHead;

  /**
   * The number of bytes of the body or chunk that have not arrived yet. In state BODY_UNTIL_CLOSE,
   * the length of the body is not known in advance: if this number of further bytes arrives, the
   * body is larger than {@link #MAX_BODY}.
   */
  private int missingBytes;

  /**
   * Creates a parser at the start of a message.
   *
   * @param parsesRequests true to parse requests, false to parse responses
   */
  public HttpMessageParser(BufferPool pool, boolean parsesRequests) {
    this.pool = pool;
    this.parsesRequests = parsesRequests;
    headReader = new HeadReader(pool);
  }

  /**
   * Returns whether no byte of the next message has arrived. Empty lines before the message and
   * complete interim responses do not count.
   */
  public boolean atStart() {
    return state == State.HEAD && headReader.isEmpty();
  }

  /**
   * Returns whether the head of the current response has arrived, but not the end of the response.
   * Returns true at most once for each response: further calls return false. Always returns false
   * if requests are parsed. Interim responses do not count.
   */
  boolean testAndClearHeadReceived() {
    boolean received = !parsesRequests && hasUnreportedHead;
    hasUnreportedHead = false;
    return received;
  }

  /** Returns the status code of the response whose head has arrived. */
  int responseStatus() {
    return head.status();
  }

  /**
   * Returns whether the sender waits for an interim response before it sends the body. This is the
   * case if the head has the header {@code Expect: 100-continue} and no byte of the body has
   * arrived.
   */
  public boolean expectsContinue() {
    return state != State.HEAD
        && body.length() == 0
        && CONTINUE_EXPECTATION.equalsIgnoreCase(head.header(EXPECT_HEADER));
  }

  /**
   * Consumes bytes up to the end of a message.
   *
   * @return the message if it is complete; null if all bytes are consumed and the message is still
   *     incomplete
   * @throws BadMessageException if the input violates HTTP, uses a version or transfer coding that
   *     is not supported, exceeds a limit, or has a body that cannot be buffered
   */
  public HttpMessage feed(ByteBuffer in) throws BadMessageException {
    while (in.hasRemaining()) {
      boolean complete =
          switch (state) {
            case HEAD -> readHead(in);
            case FIXED_BODY, BODY_UNTIL_CLOSE, CHUNK_DATA -> readBody(in);
            case CHUNK_SIZE -> readChunkSize(in);
            case CHUNK_END -> readChunkEnd(in);
            case TRAILER -> readTrailer(in);
          };
      if (complete) {
        return completeMessage();
      }
    }
    return null;
  }

  /**
   * Processes the end of the input.
   *
   * @return the current response if its body extends to the end of the input; otherwise null
   */
  public HttpMessage inputEnded() {
    return state == State.BODY_UNTIL_CLOSE ? completeMessage() : null;
  }

  /** Releases the buffers of an incomplete message to the pool. */
  public void release() {
    headReader.release();
    if (body != null) {
      body.release();
      body = null;
    }
  }

  private HttpMessage completeMessage() {
    HttpMessage message = new HttpMessage(head.startLine(), head.headers(), body, keepAlive);
    head = null;
    state = State.HEAD;
    body = null;
    trailerLength = 0;
    hasUnreportedHead = false;
    return message;
  }

  /** Reads bytes of the head, and returns whether they complete a message without a body. */
  private boolean readHead(ByteBuffer in) throws BadMessageException {
    String text = headReader.read(in);
    if (text == null) {
      return false;
    }
    head = HttpHead.parse(text, parsesRequests);
    keepAlive = head.keepAlive();
    return !beginBody();
  }

  /**
   * Determines from the head how the body is framed, and enters the state that reads it.
   *
   * @return false if the message is complete without a body; true if a body follows, and also after
   *     the head of an interim response, which is followed by the head of another response
   */
  private boolean beginBody() throws BadMessageException {
    body = new ByteQueue(pool);
    int status = parsesRequests ? HttpStatus.OK : head.status();
    boolean interim = HttpStatus.isInformational(status);
    hasUnreportedHead = !interim;
    String contentLength = head.contentLength();
    String transferEncoding = head.transferEncoding();
    if (interim) {
      return true;
    }
    if (status == HttpStatus.NO_CONTENT || status == HttpStatus.NOT_MODIFIED) {
      return false;
    }
    if (transferEncoding != null) {
      beginChunkedBody(transferEncoding, contentLength);
      return true;
    }
    if (contentLength != null) {
      beginFixedBody(contentLength);
      return missingBytes > 0;
    }
    if (parsesRequests) {
      return false;
    }
    beginBodyUntilClose();
    return true;
  }

  private void beginChunkedBody(String transferEncoding, String contentLength)
      throws BadMessageException {
    if (contentLength != null) {
      throw new BadMessageException(HttpStatus.BAD_REQUEST, "both a length and a coding");
    }
    if (!transferEncoding.equalsIgnoreCase(CHUNKED)) {
      throw new BadMessageException(HttpStatus.NOT_IMPLEMENTED, "coding not supported");
    }
    state = State.CHUNK_SIZE;
  }

  private void beginFixedBody(String contentLength) throws BadMessageException {
    if (!CONTENT_LENGTH.matcher(contentLength).matches()) {
      throw new BadMessageException(HttpStatus.BAD_REQUEST, "malformed length");
    }
    if (Long.parseLong(contentLength) > MAX_BODY) {
      throw new BadMessageException(HttpStatus.CONTENT_TOO_LARGE, "body too large");
    }
    missingBytes = Integer.parseInt(contentLength);
    state = State.FIXED_BODY;
  }

  private void beginBodyUntilClose() {
    keepAlive = false;
    // One byte more than the limit. If all of these bytes arrive, the body is too large. A body of
    // exactly the maximum size is still accepted.
    missingBytes = MAX_BODY + 1;
    state = State.BODY_UNTIL_CLOSE;
  }

  /** Reads bytes of the body or chunk, and returns whether they complete the message. */
  private boolean readBody(ByteBuffer in) throws BadMessageException {
    if (pool.isExhausted()) {
      throw new BadMessageException(HttpStatus.SERVICE_UNAVAILABLE, "no buffers left");
    }
    int remainingBefore = in.remaining();
    body.append(in, missingBytes);
    missingBytes -= remainingBefore - in.remaining();
    if (state == State.BODY_UNTIL_CLOSE && missingBytes <= 0) {
      throw new BadMessageException(HttpStatus.CONTENT_TOO_LARGE, "body too large");
    }
    if (missingBytes > 0) {
      return false;
    }
    if (state == State.FIXED_BODY) {
      return true;
    }
    state = State.CHUNK_END;
    return false;
  }

  private boolean readChunkSize(ByteBuffer in) throws BadMessageException {
    if (lineReader.read(in, MAX_CHUNK_LINE_BYTES, HttpStatus.BAD_REQUEST)) {
      beginChunk(lineReader.take());
    }
    return false;
  }

  private void beginChunk(String line) throws BadMessageException {
    int extensionStart = line.indexOf(';');
    String size = (extensionStart < 0 ? line : line.substring(0, extensionStart)).strip();
    if (!CHUNK_SIZE.matcher(size).matches()) {
      throw new BadMessageException(HttpStatus.BAD_REQUEST, "malformed chunk size");
    }
    if (Long.parseLong(size, HEX_RADIX) > MAX_BODY - body.length()) {
      throw new BadMessageException(HttpStatus.CONTENT_TOO_LARGE, "body too large");
    }
    missingBytes = Integer.parseInt(size, HEX_RADIX);
    state = missingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
  }

  private boolean readChunkEnd(ByteBuffer in) throws BadMessageException {
    if (lineReader.read(in, MAX_CHUNK_LINE_BYTES, HttpStatus.BAD_REQUEST)) {
      if (!lineReader.take().isEmpty()) {
        throw new BadMessageException(
            HttpStatus.BAD_REQUEST, "a chunk does not end where it should");
      }
      state = State.CHUNK_SIZE;
    }
    return false;
  }

  /**
   * Reads and ignores a trailer line. Returns whether it is the empty line that ends the message.
   */
  private boolean readTrailer(ByteBuffer in) throws BadMessageException {
    if (!lineReader.read(in, BufferPool.SIZE, HttpStatus.HEADER_FIELDS_TOO_LARGE)) {
      return false;
    }
    String line = lineReader.take();
    if (line.isEmpty()) {
      return true;
    }
    trailerLength += line.length();
    if (trailerLength > BufferPool.SIZE) {
      throw new BadMessageException(HttpStatus.HEADER_FIELDS_TOO_LARGE, "trailers too large");
    }
    return false;
  }
}
