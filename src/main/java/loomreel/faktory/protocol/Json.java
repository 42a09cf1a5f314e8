package loomreel.faktory.protocol;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.JsonParserDelegate;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** The JSON documents that commands and replies carry. */
public final class Json {
  /** Rejects documents that are followed by anything. */
  public static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

  private static final String MALFORMED = "malformed JSON";

  /**
   * The most values, names and brackets of a document: a document in memory takes far more space
   * than its text. A job of the greatest length has fewer.
   */
  private static final int MAX_TOKENS = 64 * 1024;

  private Json() {}

  private static final class TooLargeException extends JsonParseException {
    private static final long serialVersionUID = 1;

    TooLargeException(JsonParser parser) {
      super(parser, "over " + MAX_TOKENS + " JSON values");
    }
  }

  /** Reads a document up to {@link #MAX_TOKENS}. */
  private static final class BoundedParser extends JsonParserDelegate {
    private int tokens;

    BoundedParser(JsonParser parser) {
      super(parser);
    }

    @Override
    public JsonToken nextToken() throws IOException {
      tokens++;
      if (tokens > MAX_TOKENS) {
        throw new TooLargeException(this);
      }
      return super.nextToken();
    }
  }

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
      return read(MAPPER.createParser(text));
    } catch (TooLargeException e) {
      throw new MalformedException(e.getOriginalMessage());
    } catch (IOException e) {
      throw new MalformedException(MALFORMED);
    }
  }

  /**
   * Parses a document that is a part of an array, as UTF-8.
   *
   * @throws MalformedException if the part is not one JSON document
   */
  public static JsonNode read(byte[] text, int begin, int end) throws MalformedException {
    try {
      return read(MAPPER.getFactory().createParser(text, begin, end - begin));
    } catch (TooLargeException e) {
      throw new MalformedException(e.getOriginalMessage());
    } catch (IOException e) {
      throw new MalformedException(MALFORMED);
    }
  }

  private static JsonNode read(JsonParser parser) throws IOException {
    JsonNode document = MAPPER.readTree(new BoundedParser(parser));
    if (parser.nextToken() != null) {
      throw new JsonParseException(parser, "more than one document");
    }
    return document == null ? MAPPER.missingNode() : document;
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
