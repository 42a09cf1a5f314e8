package loomreel.ingress;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import loomreel.http.HttpMessageParser;
import loomreel.io.BufferPool;
import org.junit.jupiter.api.Test;

/** Tests which input after the current request is buffered and which is discarded. */
class PipelinedInputTest {
  private static final int MAX_BUFFERED_BYTES = HttpMessageParser.MAX_BODY + BufferPool.SIZE;
  private static final int MAX_DISCARDED_BYTES = 256 * 1024;

  private final PipelinedInput input = new PipelinedInput(new BufferPool(1000));

  private static ByteBuffer bytes(int length) {
    return ByteBuffer.allocate(length);
  }

  @Test
  void takeAllReturnsTheInputInOrderAndOnlyOnce() {
    assertTrue(input.add(ByteBuffer.wrap("ab".getBytes(StandardCharsets.UTF_8))));
    assertTrue(input.add(ByteBuffer.wrap("c".getBytes(StandardCharsets.UTF_8))));
    assertArrayEquals("abc".getBytes(StandardCharsets.UTF_8), input.takeAll());
    assertTrue(input.isEmpty());
  }

  @Test
  void aRequestOfTheMaximumSizeIsBuffered() {
    assertTrue(input.add(bytes(MAX_BUFFERED_BYTES)));
    assertFalse(input.isEmpty());
  }

  @Test
  void inputBeyondTheLimitIsDiscardedTogetherWithAllBufferedInput() {
    assertTrue(input.add(bytes(MAX_BUFFERED_BYTES)));
    assertFalse(input.add(bytes(1)));
    assertTrue(input.isEmpty());
    assertFalse(input.add(bytes(1)), "input after discarded input must be discarded");
    assertTrue(input.isEmpty());
  }

  @Test
  void discardLimitIsExceededOnlyByMoreThanTheMaximum() {
    input.discard(bytes(MAX_DISCARDED_BYTES));
    assertFalse(input.exceedsDiscardLimit());
    input.discard(bytes(1));
    assertTrue(input.exceedsDiscardLimit());
  }
}
