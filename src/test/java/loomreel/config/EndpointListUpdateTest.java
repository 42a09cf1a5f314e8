package loomreel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import loomreel.decision.Endpoint;
import org.junit.jupiter.api.Test;

/**
 * Verifies that a complete list replaces the known list, and that a list of changes updates the
 * known list.
 */
class EndpointListUpdateTest {
  private static EndpointList list(int version, boolean complete, String... entries)
      throws IOException {
    String json =
        "{\"seq\":%d,\"whole\":%s,\"hosts\":[%s]}"
            .formatted(version, complete, String.join(",", entries));
    return EndpointList.of(JsonTree.read(json.getBytes(StandardCharsets.UTF_8)));
  }

  private static String entry(String id, String health, int port) {
    return "{\"host\":\"%s\",\"dial\":\"127.0.0.1:%d\",\"health\":\"%s\"}"
        .formatted(id, port, health);
  }

  private final EndpointList known;

  EndpointListUpdateTest() throws IOException {
    known = list(41, true, entry("w0", "SERVING", 1), entry("w1", "SERVING", 2));
  }

  @Test
  void aListOfChangesReplacesTheListedEntriesAndKeepsTheOthers() throws IOException {
    EndpointList updated =
        known.updatedBy(list(43, false, entry("w1", "DRAINING", 3), entry("w2", "SERVING", 4)));

    assertEquals(43, updated.version());
    assertEquals(true, updated.complete());
    assertEquals(
        List.of(Endpoint.State.READY, Endpoint.State.DRAINING, Endpoint.State.READY),
        updated.endpoints().stream().map(Endpoint::state).toList());
    assertEquals(3, updated.addresses().get("w1").getPort());
    assertEquals(1, updated.addresses().get("w0").getPort());
  }

  @Test
  void aCompleteListReplacesTheKnownList() throws IOException {
    EndpointList later = list(7, true, entry("w2", "SERVING", 4));
    assertEquals(later, known.updatedBy(later));
  }
}
