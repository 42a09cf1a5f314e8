package loomreel.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON into a tree of Java objects: an object becomes a {@link Map}, an array becomes a
 * {@link List}, and other values become strings, numbers, booleans or null.
 */
public final class JsonTree {
  private static final JsonFactory FACTORY = new JsonFactory();

  private JsonTree() {}

  /**
   * Parses one document.
   *
   * @throws IOException if the document is empty or not JSON
   */
  public static Object read(byte[] document) throws IOException {
    try (JsonParser json = FACTORY.createParser(document)) {
      if (json.nextToken() == null) {
        throw new IOException("no JSON");
      }
      return read(json);
    }
  }

  /**
   * Parses the value that begins at the current token of the parser. Afterwards, the current token
   * is the last token of the value.
   *
   * @throws IOException if the input cannot be read or is not JSON
   */
  public static Object read(JsonParser json) throws IOException {
    return switch (json.currentToken()) {
      case START_OBJECT -> readObject(json);
      case START_ARRAY -> readArray(json);
      case VALUE_STRING -> json.getText();
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> json.getNumberValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> null;
    };
  }

  private static Map<String, Object> readObject(JsonParser json) throws IOException {
    Map<String, Object> object = new LinkedHashMap<>();
    while (json.nextToken() != JsonToken.END_OBJECT) {
      String name = json.currentName();
      json.nextToken();
      object.put(name, read(json));
    }
    return object;
  }

  private static List<Object> readArray(JsonParser json) throws IOException {
    List<Object> array = new ArrayList<>();
    while (json.nextToken() != JsonToken.END_ARRAY) {
      array.add(read(json));
    }
    return array;
  }
}
