package loomreel.faktory;

import java.nio.ByteBuffer;
import loomreel.io.BufferPool;
import loomreel.io.ByteQueue;

/** The bytes that a client sends behind a command whose reply is not complete. */
final class PipelinedCommands {
  /** The client's input is not read while more than this is buffered. */
  private static final int MAX_BYTES = 64 * 1024;

  private final ByteQueue buffered;

  PipelinedCommands(BufferPool bufferPool) {
    buffered = new ByteQueue(bufferPool);
  }

  /** Buffers all that remains of the input. */
  void add(ByteBuffer in) {
    buffered.append(in, in.remaining());
  }

  boolean isEmpty() {
    return buffered.length() == 0;
  }

  /** Whether so much is buffered that no more should be read. */
  boolean isFull() {
    return buffered.length() > MAX_BYTES;
  }

  /** Removes and returns all that is buffered. */
  ByteBuffer takeAll() {
    byte[] all = buffered.toArray();
    buffered.release();
    return ByteBuffer.wrap(all);
  }

  /** Gives the buffers back; this is not used afterwards. */
  void release() {
    buffered.release();
  }
}
