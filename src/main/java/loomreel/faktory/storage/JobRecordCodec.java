package loomreel.faktory.storage;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.Job.State;

/**
 * The stored form of a {@link JobRecord}: a JSON object. Its field names and the order of its
 * fields are read by later versions and must not change; unknown fields are skipped.
 */
final class JobRecordCodec {
  private static final String JID = "jid";
  private static final String STATE = "state";
  private static final String DUE = "due";
  private static final String FAILURES = "failures";
  private static final String MAY_HAVE_RUN = "may_have_run";

  /** In a snapshot: the attempt had been handed out when the record was written. */
  private static final String WAS_OUT = "was_out";

  private static final String REASON = "reason";
  private static final String AT = "at";
  private static final String ORDER = "order";

  /** The last field of its record: it ends one byte before the record does. */
  private static final String PAYLOAD = "payload";

  /** Marks a {@link JobRecord.HandedOut}. */
  private static final String OUT = "out";

  /**
   * Marks a {@link JobRecord.Dropped}, and a {@link JobRecord.Ended} of a dead job. Earlier
   * versions take the latter for the former.
   */
  private static final String DROPPED = "dropped";

  private static final int TYPICAL_RECORD_BYTES = 512;

  private final JsonFactory json = new JsonFactory();

  /** Writes the fields of a record that follow the jid. */
  private interface FieldWriter {
    void write(JsonGenerator generator) throws IOException;
  }

  /** Encodes a record. */
  byte[] encode(JobRecord record) {
    if (record instanceof JobRecord.FullJob full) {
      return encode(full.jid(), generator -> writeFullJob(generator, full));
    }
    if (record instanceof JobRecord.StateChange change) {
      return encode(change.jid(), generator -> writeSnapshot(generator, change.snapshot()));
    }
    if (record instanceof JobRecord.Ended ended) {
      return encode(ended.jid(), generator -> writeEnded(generator, ended));
    }
    if (record instanceof JobRecord.HandedOut) {
      return encode(record.jid(), generator -> generator.writeBooleanField(OUT, true));
    }
    return encode(record.jid(), generator -> generator.writeBooleanField(DROPPED, true));
  }

  private byte[] encode(String jid, FieldWriter fields) {
    ByteArrayOutputStream content = new ByteArrayOutputStream(TYPICAL_RECORD_BYTES);
    try (JsonGenerator generator = json.createGenerator(content)) {
      generator.writeStartObject();
      generator.writeStringField(JID, jid);
      fields.write(generator);
      generator.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return content.toByteArray();
  }

  private static void writeFullJob(JsonGenerator generator, JobRecord.FullJob full)
      throws IOException {
    writeSnapshot(generator, full.snapshot());
    generator.writeNumberField(ORDER, full.arrivalOrder());
    generator.writeFieldName(PAYLOAD);
    generator.writeRawValue(new String(full.payload(), StandardCharsets.UTF_8));
  }

  private static void writeSnapshot(JsonGenerator generator, Job.Snapshot snapshot)
      throws IOException {
    generator.writeStringField(STATE, snapshot.state().name());
    generator.writeNumberField(DUE, snapshot.dueMicros());
    generator.writeNumberField(FAILURES, snapshot.failures());
    generator.writeBooleanField(MAY_HAVE_RUN, snapshot.mayHaveRun());
    generator.writeBooleanField(WAS_OUT, snapshot.handedOut());
    generator.writeStringField(REASON, snapshot.reason());
    generator.writeNumberField(AT, snapshot.updatedAt());
  }

  /** Fields that are missing have the defaults of {@link Fields}, in earlier versions as well. */
  private static void writeEnded(JsonGenerator generator, JobRecord.Ended ended)
      throws IOException {
    generator.writeStringField(STATE, ended.state().name());
    if (ended.mayHaveRun()) {
      generator.writeBooleanField(MAY_HAVE_RUN, true);
    }
    generator.writeNumberField(AT, ended.endedAtMicros());
    if (ended.state() == State.DEAD) {
      generator.writeBooleanField(DROPPED, true);
    }
  }

  /**
   * Decodes a record.
   *
   * @throws IOException if it is not a record that {@link #encode} has written
   */
  JobRecord decode(byte[] content) throws IOException {
    Fields fields = new Fields();
    try (JsonParser parser = json.createParser(content)) {
      parser.nextToken();
      // The payload is the last field. It was validated when it was pushed.
      while (!fields.hasPayload() && parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        parser.nextToken();
        fields.read(name, parser, content);
      }
    }
    return fields.toRecord();
  }

  /** The fields of a record while it is decoded; those that are missing have these defaults. */
  private static final class Fields {
    private String jid;
    private State state;
    private long dueMicros;
    private int failures;
    private boolean mayHaveRun;
    private boolean wasOut;
    private String reason = "";
    private long updatedAt;
    private long arrivalOrder;
    private byte[] payload;
    private boolean isHandedOut;
    private boolean isDropped;

    void read(String name, JsonParser parser, byte[] content) throws IOException {
      switch (name) {
        case JID -> jid = parser.getText();
        case STATE -> state = State.valueOf(parser.getText());
        case DUE -> dueMicros = parser.getLongValue();
        case FAILURES -> failures = parser.getIntValue();
        case MAY_HAVE_RUN -> mayHaveRun = parser.getBooleanValue();
        case WAS_OUT -> wasOut = parser.getBooleanValue();
        case REASON -> reason = parser.getText();
        case AT -> updatedAt = parser.getLongValue();
        case ORDER -> arrivalOrder = parser.getLongValue();
        case OUT -> isHandedOut = parser.getBooleanValue();
        case DROPPED -> isDropped = parser.getBooleanValue();
        case PAYLOAD -> {
          int begin = (int) parser.currentTokenLocation().getByteOffset();
          payload = Arrays.copyOfRange(content, begin, content.length - 1);
        }
        default -> parser.skipChildren();
      }
    }

    boolean hasPayload() {
      return payload != null;
    }

    JobRecord toRecord() throws IOException {
      if (isHandedOut) {
        return new JobRecord.HandedOut(jid);
      }
      if (isDropped && state == null) {
        return new JobRecord.Dropped(jid);
      }
      Job.Snapshot snapshot =
          new Job.Snapshot(state, dueMicros, failures, mayHaveRun, wasOut, reason, updatedAt);
      if (payload != null) {
        return new JobRecord.FullJob(jid, snapshot, arrivalOrder, payload);
      }
      if (state == null) {
        throw new IOException("a job record without state: jid=" + jid);
      }
      if (state.isFinal() && (state != State.DEAD || isDropped)) {
        return new JobRecord.Ended(jid, state, mayHaveRun, updatedAt);
      }
      return new JobRecord.StateChange(jid, snapshot);
    }
  }
}
