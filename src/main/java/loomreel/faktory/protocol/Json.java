package loomreel.faktory.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** The JSON documents that commands and replies carry. */
public final class Json {
  /** Rejects documents that are followed by anything. */
  public static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

  private Json() {}

  /** An argument of a command is not JSON; the message is for the client. */
  public static final class MalformedException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedException(String message) {
      super(message, null, false, false);
    }
  }

  /**
   * Parses a document.
   *
   * @throws MalformedException if the text is not one JSON document
   */
  public static JsonNode read(String text) throws MalformedException {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new MalformedException("malformed JSON");
    }
  }

  /** Encodes a document as UTF-8. */
  public static byte[] toBytes(JsonNode document) {
    try {
      return MAPPER.writeValueAsBytes(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a document in memory cannot be written", e);
    }
  }
}
