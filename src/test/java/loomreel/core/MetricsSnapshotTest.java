package loomreel.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the JSON fields of {@link MetricsSnapshot}. */
class MetricsSnapshotTest {
  @Test
  void toJsonFieldsReturnsAllValuesInTheOrderOfTheResponse() {
    MetricsSnapshot snapshot =
        new MetricsSnapshot(
            Map.of("copy", 1), Map.of("copy", 2), Map.of("copy", 3), 4, 5, 6, 7, 8, 9);

    Map<String, Object> fields = snapshot.toJsonFields();

    assertEquals(
        List.of(
            "success",
            "busy",
            "failure",
            "backend_calls",
            "inflight",
            "hosts_listed",
            "hosts_down",
            "reconfig_ok",
            "reconfig_failed"),
        List.copyOf(fields.keySet()));
    assertEquals(
        List.of(Map.of("copy", 1), Map.of("copy", 2), Map.of("copy", 3), 4, 5, 6, 7, 8, 9),
        List.copyOf(fields.values()));
  }
}
