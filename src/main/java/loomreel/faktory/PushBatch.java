package loomreel.faktory;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.protocol.Reply;
import loomreel.io.EventLoop;

/**
 * One PUSHB. The complete array is read before any job of it is pushed; both are done in slices,
 * one for each turn of the loop, so that a batch never blocks the loop for long.
 */
final class PushBatch {
  /** Jobs of a slice, which delays HTTP clients for as long. */
  private static final int MAX_JOBS_PER_TURN = 8;

  private static final Reply MALFORMED = Reply.error("malformed JSON");

  /** Reads one value and leaves what follows. */
  private static final ObjectReader ELEMENT_READER =
      Json.MAPPER.reader().without(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private final EventLoop loop;
  private final JobIntake intake;
  private final Consumer<Reply> onDone;
  private final List<JsonNode> jobs = new ArrayList<>();

  /** The errors of the jobs that were rejected, by jid, or by position where there is none. */
  private final ObjectNode rejections = Json.MAPPER.createObjectNode();

  private boolean isSynced;

  /**
   * A batch that has not started.
   *
   * @param onDone gets the reply, once, when all accepted jobs are durable
   */
  PushBatch(EventLoop loop, JobIntake intake, Consumer<Reply> onDone) {
    this.loop = loop;
    this.intake = intake;
    this.onDone = onDone;
  }

  /** Reads the first slice, and schedules the rest. */
  void start(String text) {
    try {
      JsonParser parser = Json.MAPPER.getFactory().createParser(text);
      if (parser.nextToken() != JsonToken.START_ARRAY) {
        onDone.accept(Reply.error("an array of jobs is wanted"));
      } else {
        readSlice(parser);
      }
    } catch (IOException e) {
      onDone.accept(MALFORMED);
    }
  }

  private void readSlice(JsonParser parser) {
    try {
      for (int i = 0; i < MAX_JOBS_PER_TURN; i++) {
        if (parser.nextToken() == JsonToken.END_ARRAY) {
          if (parser.nextToken() != null) {
            onDone.accept(MALFORMED);
          } else {
            pushSlice(0);
          }
          return;
        }
        jobs.add(ELEMENT_READER.readTree(parser));
      }
    } catch (IOException | IllegalArgumentException e) {
      onDone.accept(MALFORMED);
      return;
    }
    loop.schedule(loop.now(), () -> readSlice(parser));
  }

  private void pushSlice(int from) {
    int to = Math.min(jobs.size(), from + MAX_JOBS_PER_TURN);
    for (int i = from; i < to; i++) {
      push(i);
    }
    if (to < jobs.size()) {
      loop.schedule(loop.now(), () -> pushSlice(to));
    } else {
      intake.whenDurable(isSynced, () -> onDone.accept(Reply.json(rejections)));
    }
  }

  private void push(int position) {
    JsonNode job = jobs.get(position);
    PushResult result = intake.push(job);
    isSynced |= result.isSynced();
    if (result instanceof PushResult.Rejected rejected) {
      String jid = job.path("jid").asText("");
      rejections.put(jid.isEmpty() ? "#" + position : jid, rejected.error().message());
    }
    // The queue has its own copy of the payload.
    jobs.set(position, null);
  }
}
