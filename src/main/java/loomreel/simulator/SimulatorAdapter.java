package loomreel.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loomreel.decision.Action;
import loomreel.decision.DispatchPolicy;
import loomreel.decision.Endpoint;
import loomreel.decision.Event;

/**
 * Connects {@link DispatchPolicy} to the simulator: reads batches of events, passes each event to
 * the policy of its dispatcher, and writes one reply for each batch. It translates and decides
 * nothing.
 *
 * <p>The adapter reads and writes on the calling thread. The caller owns both streams; {@link
 * #run()} closes the input.
 */
public final class SimulatorAdapter {
  private static final int INITIAL_REPLY_BYTES = 1 << 16;

  /** A running dispatcher: its policy, and the translator that knows its settings. */
  private record Dispatcher(DispatchPolicy policy, EventTranslator translator) {}

  private final JsonFactory jsonFactory = new JsonFactory();
  private final InputStream input;
  private final OutputStream output;
  private final Map<Integer, Dispatcher> dispatchers = new HashMap<>();
  private final Map<Long, List<Endpoint>> endpointLists = new HashMap<>();

  /** The actions of the current event; reused to avoid an allocation for each event. */
  private final List<Action> actions = new ArrayList<>();

  /**
   * Creates an adapter between two streams.
   *
   * @param input the batches
   * @param output for the replies; nothing else is written there
   */
  public SimulatorAdapter(InputStream input, OutputStream output) {
    this.input = input;
    this.output = output;
  }

  /**
   * Answers batches until the input ends.
   *
   * @throws MalformedBatchException if a batch is malformed; the replies written so far are
   *     complete
   * @throws IOException if a stream fails
   */
  public void run() throws MalformedBatchException, IOException {
    ByteArrayOutputStream reply = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);
    String position = "before the first batch";
    try (JsonParser json = jsonFactory.createParser(input)) {
      while (json.nextToken() != null) {
        WireBatch batch = BatchReader.read(json);
        reply.reset();
        writeReply(batch, reply);
        reply.write('\n');
        reply.writeTo(output);
        output.flush();
        position = "after batch " + batch.number();
      }
    } catch (JsonProcessingException e) {
      throw new MalformedBatchException(position + ": malformed JSON: " + e.getOriginalMessage());
    } catch (MalformedBatchException e) {
      throw new MalformedBatchException(position + ": " + e.getMessage());
    }
  }

  private void writeReply(WireBatch batch, OutputStream reply)
      throws MalformedBatchException, IOException {
    try (JsonGenerator json = jsonFactory.createGenerator(reply)) {
      ActionWriter writer = new ActionWriter(json);
      json.writeStartObject();
      json.writeNumberField(WireNames.BATCH_NUMBER, batch.number());
      json.writeArrayFieldStart(WireNames.DISPATCHERS);
      for (WireBatch.DispatcherEvents dispatcher : batch.dispatchers()) {
        json.writeStartObject();
        json.writeNumberField(WireNames.DISPATCHER_NUMBER, dispatcher.instance());
        json.writeArrayFieldStart(WireNames.ACTIONS);
        for (WireObject event : dispatcher.events()) {
          handle(dispatcher.instance(), event, batch.timeMicros(), writer);
        }
        json.writeEndArray();
        json.writeEndObject();
      }
      json.writeEndArray();
      json.writeEndObject();
    } catch (MalformedBatchException e) {
      throw new MalformedBatchException("in batch " + batch.number() + ": " + e.getMessage());
    }
  }

  private void handle(int instance, WireObject wireObject, long now, ActionWriter writer)
      throws MalformedBatchException, IOException {
    String kind = wireObject.kind();
    if (kind.equals(WireNames.DISPATCHER_STARTED)) {
      dispatchers.put(
          instance, new Dispatcher(new DispatchPolicy(), new EventTranslator(endpointLists)));
    }
    // A list's definition concerns all dispatchers and may precede the start of any.
    if (!kind.equals(WireNames.ENDPOINT_LIST_DEFINED) && !dispatchers.containsKey(instance)) {
      throw new MalformedBatchException(kind + " for instance " + instance + " before its Up");
    }
    WireEvent event = WireEventReader.read(wireObject);
    if (event instanceof WireEvent.EndpointListDefined list) {
      endpointLists.put(list.listId(), list.endpoints());
      return;
    }
    Dispatcher dispatcher = dispatchers.get(instance);
    Optional<Event> translated = dispatcher.translator().translate(event);
    if (translated.isPresent()) {
      decide(dispatcher.policy(), translated.get(), now, writer);
    }
    if (event instanceof WireEvent.DispatcherStopped) {
      dispatchers.remove(instance);
    }
  }

  private void decide(DispatchPolicy policy, Event event, long now, ActionWriter writer)
      throws IOException {
    actions.clear();
    try {
      policy.on(event, now, actions);
    } catch (RuntimeException e) {
      // The actions that the policy had emitted before it failed are dropped.
      writer.writeFailure(e);
      return;
    }
    for (Action action : actions) {
      writer.write(action);
    }
  }
}
