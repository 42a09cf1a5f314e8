package loomreel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import loomreel.decision.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Verifies from which JSON key each value of an {@link EndpointList} is read. */
class EndpointListTest {
  /** An endpoint list that contains each key and each state. The values are distinct. */
  private static final String DOCUMENT =
      """
      {"seq": 10, "whole": true, "hosts": [
        {"host": "w11", "dial": "127.0.0.1:12", "site": "z13", "class": "k14", "block": 15,
         "born_ms": 16, "share": 17, "health": "SERVING"},
        {"host": "w18", "dial": "127.0.0.1:19", "health": "DRAINING"},
        {"host": "w20", "health": "DELETED"}]}
      """;

  private static EndpointList read(String document) throws IOException {
    return EndpointList.of(JsonTree.read(document.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void eachValueIsReadFromItsKey() throws Exception {
    EndpointList expected =
        new EndpointList(
            10,
            true,
            List.of(
                new Endpoint("w11", "z13", "k14", 15, Endpoint.State.READY, 16_000, 17),
                new Endpoint("w18", "", "", -1, Endpoint.State.DRAINING, 0, 1),
                new Endpoint("w20", "", "", -1, Endpoint.State.REMOVED, 0, 1)),
            Map.of(
                "w11", AddressParser.parse("127.0.0.1:12"),
                "w18", AddressParser.parse("127.0.0.1:19")));

    assertEquals(expected, read(DOCUMENT));
  }

  @Test
  void theDocumentContainsEachKeyAndState() throws Exception {
    for (Field key : EndpointListKeys.class.getDeclaredFields()) {
      if (key.getType() == String.class) {
        assertTrue(DOCUMENT.contains("\"" + key.get(null) + "\""), key + " " + key.get(null));
      }
    }
  }

  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '`',
      value = {
        "\"seq\", `a list without seq, whole or hosts`",
        "\"whole\", `a list without seq, whole or hosts`",
        "\"hosts\", `a list without seq, whole or hosts`",
        "\"host\", an entry without host or health",
        "\"health\", an entry without host or health",
        "\"dial\", no dial for w11",
        "SERVING, unknown health other"
      })
  void theErrorMessageNamesTheMissingKeyOrTheUnknownState(String name, String message) {
    String document = DOCUMENT.replace(name, name.replaceAll("\\w+", "other"));

    IllegalArgumentException error =
        assertThrows(IllegalArgumentException.class, () -> read(document));

    assertEquals(message, error.getMessage());
  }
}
