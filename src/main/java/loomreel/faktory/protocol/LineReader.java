package loomreel.faktory.protocol;

import java.nio.ByteBuffer;
import java.util.Optional;
import loomreel.io.BufferPool;
import loomreel.io.ByteQueue;

/** Reads commands, one a line, from bytes that arrive split anywhere. */
public final class LineReader {
  /** The input is no line of a bounded length; nothing after it can be understood. */
  public static final class BadLineException extends Exception {
    private static final long serialVersionUID = 1;

    BadLineException(String message) {
      super(message, null, false, false);
    }
  }

  private final BufferPool bufferPool;
  private ByteQueue line;
  private int maxLineBytes;

  /**
   * A reader before its first line.
   *
   * @param bufferPool of the buffers for incomplete lines
   * @param maxLineBytes of a line without its end
   */
  public LineReader(BufferPool bufferPool, int maxLineBytes) {
    this.bufferPool = bufferPool;
    this.maxLineBytes = maxLineBytes;
    line = new ByteQueue(bufferPool);
  }

  /** Limits lines to so many bytes, from the next one on. */
  public void maxLineBytes(int bytes) {
    maxLineBytes = bytes;
  }

  /** Whether nothing of the next line has arrived. */
  public boolean atStart() {
    return line.length() == 0;
  }

  /**
   * The next line without its end; empty where more has to arrive.
   *
   * @throws BadLineException for RESP's own framing, which servers use and clients do not, and for
   *     a line that is too long
   */
  public Optional<CommandLine> next(ByteBuffer in) throws BadLineException {
    rejectRespFraming(in);
    int end = in.position();
    while (end < in.limit() && in.get(end) != '\n') {
      end++;
    }
    int part = end - in.position();
    checkLength(line.length() + part);
    line.append(in, part);
    if (!in.hasRemaining()) {
      return Optional.empty();
    }
    in.get();
    return Optional.of(takeLine());
  }

  private void rejectRespFraming(ByteBuffer in) throws BadLineException {
    if (atStart() && in.hasRemaining()) {
      byte first = in.get(in.position());
      if (first == '*' || first == '$') {
        throw new BadLineException("a command is a line, not an array or a bulk string");
      }
    }
  }

  private void checkLength(int bytes) throws BadLineException {
    // One more than the limit: a carriage return may belong to the line's end.
    if (bytes > maxLineBytes + 1) {
      throw new BadLineException("a command of over " + maxLineBytes + " bytes");
    }
    if (bytes > BufferPool.SIZE && bufferPool.isExhausted()) {
      throw new BadLineException("no memory for long commands now");
    }
  }

  private CommandLine takeLine() {
    CommandLine complete = new CommandLine(line);
    line = new ByteQueue(bufferPool);
    return complete;
  }

  /** Gives the buffers back; the reader is not used after this. */
  public void release() {
    line.release();
  }
}
