package loomreel.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loomreel.config.JsonTree;

/**
 * Reads batches of events from JSON. Unknown fields of a batch, and of an element of its array
 * {@code parts}, are skipped. The fields of an event are stored without a check. {@link
 * WireEventReader} checks these fields when the event is handled.
 */
final class BatchReader {
  private BatchReader() {}

  /**
   * Reads one batch, up to and including its closing brace.
   *
   * @param json a parser whose current token is the first token of the batch
   * @throws MalformedBatchException if the input is valid JSON but not a valid batch
   * @throws IOException if the stream fails or is not valid JSON
   */
  static WireBatch read(JsonParser json) throws MalformedBatchException, IOException {
    expect(json, JsonToken.START_OBJECT, "batch is not a JSON object");
    Long batchNumber = null;
    Long timeMicros = null;
    List<WireBatch.DispatcherEvents> dispatchers = null;
    while (json.nextToken() != JsonToken.END_OBJECT) {
      String fieldName = json.currentName();
      JsonToken value = json.nextToken();
      switch (fieldName) {
        case WireNames.BATCH_NUMBER -> {
          expectNumber(value, fieldName);
          batchNumber = json.getLongValue();
        }
        case WireNames.TIME_SECONDS -> {
          expectNumber(value, fieldName);
          timeMicros = WireObject.toMicros(json.getDoubleValue());
        }
        case WireNames.DISPATCHERS -> dispatchers = readDispatchers(json);
        default -> json.skipChildren();
      }
    }
    require(batchNumber, "batch lacks the field batch");
    require(timeMicros, "batch lacks the field SimTimeS");
    require(dispatchers, "batch lacks the field parts");
    return new WireBatch(batchNumber, timeMicros, dispatchers);
  }

  private static List<WireBatch.DispatcherEvents> readDispatchers(JsonParser json)
      throws MalformedBatchException, IOException {
    expect(json, JsonToken.START_ARRAY, "field parts is not a JSON array");
    List<WireBatch.DispatcherEvents> dispatchers = new ArrayList<>();
    while (json.nextToken() != JsonToken.END_ARRAY) {
      dispatchers.add(readDispatcherEvents(json));
    }
    return dispatchers;
  }

  private static WireBatch.DispatcherEvents readDispatcherEvents(JsonParser json)
      throws MalformedBatchException, IOException {
    expect(json, JsonToken.START_OBJECT, "part is not a JSON object");
    Integer dispatcherNumber = null;
    List<WireObject> events = new ArrayList<>();
    while (json.nextToken() != JsonToken.END_OBJECT) {
      String fieldName = json.currentName();
      JsonToken value = json.nextToken();
      switch (fieldName) {
        case WireNames.DISPATCHER_NUMBER -> {
          expectNumber(value, fieldName);
          dispatcherNumber = json.getIntValue();
        }
        case WireNames.EVENTS -> readEvents(json, events);
        default -> json.skipChildren();
      }
    }
    require(dispatcherNumber, "part lacks the field I");
    return new WireBatch.DispatcherEvents(dispatcherNumber, events);
  }

  private static void readEvents(JsonParser json, List<WireObject> events)
      throws MalformedBatchException, IOException {
    expect(json, JsonToken.START_ARRAY, "field events is not a JSON array");
    while (json.nextToken() != JsonToken.END_ARRAY) {
      events.add(readEvent(json));
    }
  }

  private static WireObject readEvent(JsonParser json) throws MalformedBatchException, IOException {
    expect(json, JsonToken.START_OBJECT, "event is not a JSON object");
    String kind = null;
    Map<String, Object> fields = WireObject.newFieldMap();
    while (json.nextToken() != JsonToken.END_OBJECT) {
      String fieldName = json.currentName();
      json.nextToken();
      if (fieldName.equals(WireNames.KIND)) {
        expect(json, JsonToken.VALUE_STRING, "field kind of an event is not a string");
        kind = json.getText();
      } else {
        fields.put(fieldName, JsonTree.read(json));
      }
    }
    require(kind, "event lacks the field kind");
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

  private static void expectNumber(JsonToken token, String fieldName)
      throws MalformedBatchException {
    if (token != JsonToken.VALUE_NUMBER_INT && token != JsonToken.VALUE_NUMBER_FLOAT) {
      throw new MalformedBatchException(fieldName + " is not a number");
    }
  }
}
