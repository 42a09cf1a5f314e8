package loomreel.faktory;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.protocol.Reply;
import loomreel.io.EventLoop;

/**
 * One PUSHB. The complete array is checked before any job of it is pushed; both are done in slices,
 * one for each turn of the loop, so that a batch never blocks the loop for long. Holds the text of
 * the batch and one job of it in memory.
 */
final class PushBatch {
  /** The error for a batch that is no array. */
  static final Reply NOT_AN_ARRAY = Reply.error("an array of jobs is wanted");

  /** Jobs of a slice, which delays HTTP clients for as long. */
  private static final int MAX_JOBS_PER_TURN = 8;

  /** Characters that are decoded at a time. */
  private static final int DECODED_CHARS = 8 * 1024;

  private static final Reply MALFORMED = Reply.error("malformed JSON");

  private final EventLoop loop;
  private final JobIntake intake;
  private final int maxJobs;
  private final Consumer<Reply> onDone;

  /** The errors of the jobs that were rejected, by jid, or by position where there is none. */
  private final ObjectNode rejections = Json.MAPPER.createObjectNode();

  private byte[] line;
  private int arrayBegin;

  /** The position of the next job. */
  private int position;

  private boolean isSynced;

  /**
   * A batch that has not started.
   *
   * @param maxJobs more jobs are rejected together
   * @param onDone gets the reply, once, when all accepted jobs are durable
   */
  PushBatch(EventLoop loop, JobIntake intake, int maxJobs, Consumer<Reply> onDone) {
    this.loop = loop;
    this.intake = intake;
    this.maxJobs = maxJobs;
    this.onDone = onDone;
  }

  /**
   * Checks the first slice, and schedules the rest.
   *
   * @param command the complete command, which is not changed meanwhile
   */
  void start(byte[] command) {
    line = withValidEncoding(command);
    if (containsNul(line)) {
      // No JSON has this byte, which a parser would take for a sign of another encoding.
      onDone.accept(MALFORMED);
      return;
    }
    while (arrayBegin < line.length && line[arrayBegin] != ' ') {
      arrayBegin++;
    }
    JsonParser parser = beginArray();
    if (parser != null) {
      checkSlice(parser);
    }
  }

  /** Replaces malformed bytes, as the decoding of any other command does. */
  private static byte[] withValidEncoding(byte[] text) {
    return isUtf8(text)
        ? text
        : new String(text, StandardCharsets.UTF_8).getBytes(StandardCharsets.UTF_8);
  }

  private static boolean containsNul(byte[] text) {
    for (byte character : text) {
      if (character == 0) {
        return true;
      }
    }
    return false;
  }

  private static boolean isUtf8(byte[] text) {
    CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
    ByteBuffer in = ByteBuffer.wrap(text);
    CharBuffer decoded = CharBuffer.allocate(DECODED_CHARS);
    CoderResult result = CoderResult.OVERFLOW;
    while (result.isOverflow()) {
      result = decoder.decode(in, decoded.clear(), true);
    }
    return !result.isError();
  }

  /** A parser in the array; null where there is none, and the reply is sent. */
  private JsonParser beginArray() {
    try {
      JsonParser parser =
          Json.MAPPER.getFactory().createParser(line, arrayBegin, line.length - arrayBegin);
      if (parser.nextToken() == JsonToken.START_ARRAY) {
        return parser;
      }
      onDone.accept(NOT_AN_ARRAY);
    } catch (IOException e) {
      onDone.accept(MALFORMED);
    }
    return null;
  }

  private void checkSlice(JsonParser parser) {
    try {
      for (int i = 0; i < MAX_JOBS_PER_TURN; i++) {
        if (parser.nextToken() == JsonToken.END_ARRAY) {
          finishCheck(parser);
          return;
        }
        parser.skipChildren();
        parser.finishToken();
        position++;
      }
    } catch (IOException e) {
      onDone.accept(MALFORMED);
      return;
    }
    if (position > maxJobs) {
      onDone.accept(Reply.error("a batch of over " + maxJobs + " jobs"));
    } else {
      loop.schedule(loop.now(), () -> checkSlice(parser));
    }
  }

  private void finishCheck(JsonParser parser) throws IOException {
    if (parser.nextToken() != null) {
      onDone.accept(MALFORMED);
      return;
    }
    position = 0;
    pushSlice(beginArray());
  }

  private void pushSlice(JsonParser parser) {
    try {
      for (int i = 0; i < MAX_JOBS_PER_TURN; i++) {
        if (parser.nextToken() == JsonToken.END_ARRAY) {
          intake.whenDurable(isSynced, () -> onDone.accept(Reply.json(rejections)));
          return;
        }
        int begin = offset(parser.currentTokenLocation());
        parser.skipChildren();
        parser.finishToken();
        push(begin, offset(parser.currentLocation()));
        position++;
      }
    } catch (IOException e) {
      onDone.accept(MALFORMED);
      return;
    }
    loop.schedule(loop.now(), () -> pushSlice(parser));
  }

  /** The offset of a location in the line. */
  private int offset(JsonLocation location) {
    return arrayBegin + (int) location.getByteOffset();
  }

  private void push(int begin, int end) {
    if (end - begin > CommandLimits.MAX_JOB_TEXT_BYTES) {
      reject("", JobIntake.JOB_TOO_LONG);
      return;
    }
    try {
      JsonNode job = Json.read(line, begin, end);
      PushResult result = intake.push(job);
      isSynced |= result.isSynced();
      if (result instanceof PushResult.Rejected rejected) {
        reject(job.path("jid").asText(""), rejected.error());
      }
    } catch (Json.MalformedException e) {
      reject("", Reply.error(e.getMessage()));
    }
  }

  private void reject(String jid, Reply.ErrorReply error) {
    rejections.put(jid.isEmpty() ? "#" + position : jid, error.message());
  }
}
