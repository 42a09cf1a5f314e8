package loomreel.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loomreel.faktory.queue.HeapLimits;
import loomreel.faktory.queue.PushRejection;
import loomreel.faktory.queue.QueueLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The errors of PUSH, which client libraries read. */
class PushErrorsTest {
  private static final QueueLimits LIMITS =
      new QueueLimits(100, 10_000, 1, 1, 1, new HeapLimits(20_000, 1, 1, 1));

  @ParameterizedTest
  @CsvSource({
    "JID_IN_USE, NOTUNIQUE jid is in use",
    "JID_ENDED, NOTUNIQUE jid has ended lately",
    "TOO_MANY_QUEUES, ERR backlog is full: 1000 queues",
    "TOO_MANY_JOBS, ERR backlog is full: 100 jobs",
    "TOO_MANY_BYTES, ERR backlog is full: 10000 bytes",
    "NO_MEMORY, ERR backlog is full: waiting jobs take 20000 bytes of the heap",
    "DEADLINE_PASSED, ERR its own deadline has passed"
  })
  void eachRejectionHasItsError(PushRejection rejection, String message) {
    assertEquals(message, PushErrors.of(rejection, LIMITS).message());
  }
}
