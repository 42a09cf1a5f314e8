package loomreel.faktory.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.Job.State;
import org.junit.jupiter.api.Test;

/** The stored form of records, byte by byte: earlier and later versions read it. */
class JobRecordCodecTest {
  private static final Job.Snapshot SNAPSHOT =
      new Job.Snapshot(State.ACTIVE, 7, 2, true, true, "why \"not\"", 9);
  private static final String SNAPSHOT_JSON =
      "\"state\":\"ACTIVE\",\"due\":7,\"failures\":2,\"may_have_run\":true,\"was_out\":true,"
          + "\"reason\":\"why \\\"not\\\"\",\"at\":9";
  private final JobRecordCodec codec = new JobRecordCodec();

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private String encoded(JobRecord record) {
    return new String(codec.encode(record), StandardCharsets.UTF_8);
  }

  @Test
  void fullJobsEndWithTheirPayloadAsItCame() throws IOException {
    String payload = "{\"jid\":\"j\", \"args\":[ 1,{\"a\":\"\u00fc\"}] }";
    String stored = "{\"jid\":\"j\"," + SNAPSHOT_JSON + ",\"order\":5,\"payload\":" + payload + "}";

    assertEquals(stored, encoded(new JobRecord.FullJob("j", SNAPSHOT, 5, bytes(payload))));
    JobRecord.FullJob decoded = (JobRecord.FullJob) codec.decode(bytes(stored));
    assertEquals("j", decoded.jid());
    assertEquals(SNAPSHOT, decoded.snapshot());
    assertEquals(5, decoded.arrivalOrder());
    assertArrayEquals(bytes(payload), decoded.payload());
  }

  @Test
  void stateChangesCarryNoPayload() throws IOException {
    JobRecord change = new JobRecord.StateChange("j", SNAPSHOT);

    assertEquals("{\"jid\":\"j\"," + SNAPSHOT_JSON + "}", encoded(change));
    assertEquals(change, codec.decode(codec.encode(change)));
  }

  @Test
  void handedOutIsOneFlag() throws IOException {
    JobRecord handedOut = new JobRecord.HandedOut("j");

    assertEquals("{\"jid\":\"j\",\"out\":true}", encoded(handedOut));
    assertEquals(handedOut, codec.decode(codec.encode(handedOut)));
  }

  @Test
  void endsCarryTheFinalStateAndItsTime() throws IOException {
    JobRecord done = new JobRecord.Ended("j", State.DONE, false, 9);

    assertEquals("{\"jid\":\"j\",\"state\":\"DONE\",\"at\":9}", encoded(done));
    assertEquals(done, codec.decode(codec.encode(done)));
  }

  /** Earlier versions read it as the record of a dead job that is no longer retained. */
  @Test
  void endsOfDeadJobsAreMarkedAsDropped() throws IOException {
    JobRecord dead = new JobRecord.Ended("j", State.DEAD, true, 9);
    String stored =
        "{\"jid\":\"j\",\"state\":\"DEAD\",\"may_have_run\":true,\"at\":9,\"dropped\":true}";

    assertEquals(stored, encoded(dead));
    assertEquals(dead, codec.decode(codec.encode(dead)));
  }

  /** Earlier versions record the end of a job as any other change of its state. */
  @Test
  void stateChangesToFinalStatesAreEnds() throws IOException {
    String stored = "{\"jid\":\"j\"," + SNAPSHOT_JSON.replace("ACTIVE", "EXPIRED") + "}";

    assertEquals(new JobRecord.Ended("j", State.EXPIRED, true, 9), codec.decode(bytes(stored)));
  }

  @Test
  void droppedIsOneFlag() throws IOException {
    JobRecord dropped = new JobRecord.Dropped("j");

    assertEquals("{\"jid\":\"j\",\"dropped\":true}", encoded(dropped));
    assertEquals(dropped, codec.decode(codec.encode(dropped)));
  }

  @Test
  void unknownFieldsAreSkipped() throws IOException {
    String stored = "{\"jid\":\"j\",\"new\":{\"a\":[1]}," + SNAPSHOT_JSON + "}";

    assertEquals(new JobRecord.StateChange("j", SNAPSHOT), codec.decode(bytes(stored)));
  }

  @Test
  void aRecordWithoutStateIsAnError() {
    assertThrows(IOException.class, () -> codec.decode(bytes("{\"jid\":\"j\"}")));
  }
}
