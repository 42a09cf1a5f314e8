package loomreel.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loomreel.config.JsonTree;

/**
 * Reads the JSON of batches. Unknown fields of a batch or of an element of {@code parts} are
 * skipped; the fields of events are stored unchecked, for {@link WireEventReader} to check when the
 * event is handled.
 */
final class BatchReader {
  private BatchReader() {}

  /**
   * Reads the batch that the parser stands on, up to and including its closing brace.
   *
   * @throws MalformedBatchException if it is JSON, but no batch
   * @throws IOException if the stream fails or is not JSON
   */
  static WireBatch read(JsonParser json) throws MalformedBatchException, IOException {
    expect(json, JsonToken.START_OBJECT, "a batch is not an object");
    Long number = null;
    Long timeMicros = null;
    List<WireBatch.DispatcherEvents> dispatchers = null;
    while (json.nextToken() != JsonToken.END_OBJECT) {
      String name = json.currentName();
      JsonToken value = json.nextToken();
      switch (name) {
        case WireNames.BATCH_NUMBER -> {
          expectNumber(value, name);
          number = json.getLongValue();
        }
        case WireNames.TIME_SECONDS -> {
          expectNumber(value, name);
          timeMicros = WireObject.toMicros(json.getDoubleValue());
        }
        case WireNames.DISPATCHERS -> dispatchers = readDispatchers(json);
        default -> json.skipChildren();
      }
    }
    require(number, "a batch without batch");
    require(timeMicros, "a batch without SimTimeS");
    require(dispatchers, "a batch without parts");
    return new WireBatch(number, timeMicros, dispatchers);
  }

  private static List<WireBatch.DispatcherEvents> readDispatchers(JsonParser json)
      throws MalformedBatchException, IOException {
    expect(json, JsonToken.START_ARRAY, "parts is not an array");
    List<WireBatch.DispatcherEvents> dispatchers = new ArrayList<>();
    while (json.nextToken() != JsonToken.END_ARRAY) {
      dispatchers.add(readDispatcherEvents(json));
    }
    return dispatchers;
  }

  private static WireBatch.DispatcherEvents readDispatcherEvents(JsonParser json)
      throws MalformedBatchException, IOException {
    expect(json, JsonToken.START_OBJECT, "a part is not an object");
    Integer instance = null;
    List<WireObject> events = new ArrayList<>();
    while (json.nextToken() != JsonToken.END_OBJECT) {
      String name = json.currentName();
      JsonToken value = json.nextToken();
      switch (name) {
        case WireNames.DISPATCHER_NUMBER -> {
          expectNumber(value, name);
          instance = json.getIntValue();
        }
        case WireNames.EVENTS -> readEvents(json, events);
        default -> json.skipChildren();
      }
    }
    require(instance, "a part without I");
    return new WireBatch.DispatcherEvents(instance, events);
  }

  private static void readEvents(JsonParser json, List<WireObject> events)
      throws MalformedBatchException, IOException {
    expect(json, JsonToken.START_ARRAY, "events is not an array");
    while (json.nextToken() != JsonToken.END_ARRAY) {
      events.add(readEvent(json));
    }
  }

  private static WireObject readEvent(JsonParser json) throws MalformedBatchException, IOException {
    expect(json, JsonToken.START_OBJECT, "an event is not an object");
    String kind = null;
    Map<String, Object> fields = WireObject.newFieldMap();
    while (json.nextToken() != JsonToken.END_OBJECT) {
      String name = json.currentName();
      json.nextToken();
      if (name.equals(WireNames.KIND)) {
        expect(json, JsonToken.VALUE_STRING, "an event's kind is not a string");
        kind = json.getText();
      } else {
        fields.put(name, JsonTree.read(json));
      }
    }
    require(kind, "an event without kind");
    return new WireObject(kind, fields);
  }

  private static void require(Object value, String errorMessage) throws MalformedBatchException {
    if (value == null) {
      throw new MalformedBatchException(errorMessage);
    }
  }

  private static void expect(JsonParser json, JsonToken token, String errorMessage)
      throws MalformedBatchException {
    if (json.currentToken() != token) {
      throw new MalformedBatchException(errorMessage);
    }
  }

  private static void expectNumber(JsonToken token, String name) throws MalformedBatchException {
    if (token != JsonToken.VALUE_NUMBER_INT && token != JsonToken.VALUE_NUMBER_FLOAT) {
      throw new MalformedBatchException(name + " is not a number");
    }
  }
}
