package loomreel.faktory.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import loomreel.io.BufferPool;
import loomreel.io.ByteQueue;
import org.junit.jupiter.api.Test;

/** The bytes of replies. */
class ReplyTest {
  private static String encoded(Reply reply) {
    ByteQueue out = new ByteQueue(new BufferPool(4));
    reply.appendTo(out);
    return new String(out.toArray(), StandardCharsets.UTF_8);
  }

  @Test
  void framesEachKind() {
    assertEquals("+OK\r\n", encoded(Reply.OK));
    assertEquals("$-1\r\n", encoded(Reply.NIL));
    assertEquals("-ERR unknown worker\r\n", encoded(Reply.error("unknown worker")));
    assertEquals("$2\r\n{}\r\n", encoded(Reply.json(Json.MAPPER.createObjectNode())));
  }

  @Test
  void aBulkStringCountsBytesAndNotCharacters() {
    byte[] value = "é".getBytes(StandardCharsets.UTF_8);

    assertEquals("$2\r\né\r\n", encoded(new Reply.BulkString(value)));
  }

  @Test
  void anErrorNeitherBreaksTheFramingNorGrowsWithoutBound() {
    assertEquals("-ERR a??b\r\n", encoded(Reply.error("a\r\nb")));
    assertEquals(
        "-ERR " + "x".repeat(Reply.MAX_TEXT_CHARS - 4) + "\r\n",
        encoded(Reply.error("x".repeat(300))));
  }
}
