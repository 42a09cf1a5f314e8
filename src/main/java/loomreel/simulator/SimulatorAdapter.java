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
 * Connects {@link DispatchPolicy} to the simulator. Each simulated dispatcher has its own policy.
 * The adapter reads batches of events, translates the events, and gives them to the policies of the
 * dispatchers. Events that have no meaning for a policy are not passed on. For each batch, the
 * adapter writes one reply, which contains the actions of the policies. The adapter only
 * translates; the policies make every decision.
 *
 * <p>The adapter reads and writes on the thread that calls {@link #run()}. This method closes the
 * input stream but not the output stream. The caller decides when to close the output stream.
 */
public final class SimulatorAdapter {
  /** The initial capacity of the reply buffer, in bytes. */
  private static final int INITIAL_REPLY_BYTES = 1 << 16;

  /**
   * A simulated dispatcher that has started and has not stopped. The translator knows the request
   * classes and tenants in the settings of the dispatcher.
   */
  private record Dispatcher(DispatchPolicy policy, EventTranslator translator) {}

  private final JsonFactory jsonFactory = new JsonFactory();
  private final InputStream input;
  private final OutputStream output;

  /** The dispatchers that run, by their number in the protocol. */
  private final Map<Integer, Dispatcher> dispatchers = new HashMap<>();

  private final Map<Long, List<Endpoint>> endpointListsById = new HashMap<>();

  /**
   * The actions of a policy in response to the current event. The list is reused to avoid an
   * allocation for each event.
   */
  private final List<Action> actions = new ArrayList<>();

  /**
   * Creates an adapter that reads batches from one stream and writes the replies to another.
   *
   * @param input the stream of batches, which {@link #run()} closes
   * @param output the stream that receives the replies and nothing else; the adapter does not close
   *     the stream
   */
  public SimulatorAdapter(InputStream input, OutputStream output) {
    this.input = input;
    this.output = output;
  }

  /**
   * Reads batches until the input ends. After each batch, writes the reply to the batch as one line
   * and flushes the output. Closes the input at the end.
   *
   * @throws MalformedBatchException if the input is not JSON or a batch violates the protocol; the
   *     replies to all previous batches are complete, and nothing is written for the batch with the
   *     violation
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
        json.writeNumberField(WireNames.DISPATCHER_NUMBER, dispatcher.dispatcherNumber());
        json.writeArrayFieldStart(WireNames.ACTIONS);
        for (WireObject event : dispatcher.events()) {
          handle(dispatcher.dispatcherNumber(), event, batch.timeMicros(), writer);
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

  private void handle(
      int dispatcherNumber, WireObject wireObject, long nowMicros, ActionWriter writer)
      throws MalformedBatchException, IOException {
    String kind = wireObject.kind();
    if (kind.equals(WireNames.DISPATCHER_STARTED)) {
      dispatchers.put(
          dispatcherNumber,
          new Dispatcher(new DispatchPolicy(), new EventTranslator(endpointListsById)));
    }
    // All dispatchers share the endpoint lists. So an endpoint list may be defined in the events of
    // a dispatcher that has not started.
    if (!kind.equals(WireNames.ENDPOINT_LIST_DEFINED)
        && !dispatchers.containsKey(dispatcherNumber)) {
      throw new MalformedBatchException(
          kind + " for dispatcher " + dispatcherNumber + " before its Up event");
    }
    WireEvent event = WireEventReader.read(wireObject);
    if (event instanceof WireEvent.EndpointListDefined list) {
      endpointListsById.put(list.listId(), list.endpoints());
      return;
    }
    Dispatcher dispatcher = dispatchers.get(dispatcherNumber);
    Optional<Event> policyEvent = dispatcher.translator().translate(event);
    if (policyEvent.isPresent()) {
      applyPolicy(dispatcher.policy(), policyEvent.get(), nowMicros, writer);
    }
    if (event instanceof WireEvent.DispatcherStopped) {
      dispatchers.remove(dispatcherNumber);
    }
  }

  private void applyPolicy(DispatchPolicy policy, Event event, long nowMicros, ActionWriter writer)
      throws IOException {
    actions.clear();
    try {
      policy.on(event, nowMicros, actions);
    } catch (RuntimeException e) {
      // The actions that the policy emitted before the exception are discarded.
      writer.writeFailure(e);
      return;
    }
    for (Action action : actions) {
      writer.write(action);
    }
  }
}
