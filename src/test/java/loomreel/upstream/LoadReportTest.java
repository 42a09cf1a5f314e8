package loomreel.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import loomreel.decision.WorkerLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullAndEmptySource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the forms of load reports that {@link LoadReport} parses. */
class LoadReportTest {
  private static final Optional<WorkerLoad> LOAD =
      Optional.of(new WorkerLoad(2, 7, 0.5, Double.NaN));

  @ParameterizedTest
  @ValueSource(
      strings = {
        "TEXT inflight=7, queue=2, util=0.5",
        "TEXT concurrent=7,depth=2 load_share=0.5, x0=many, other=3",
        "{\"inflight\": 7, \"queue\": 2, \"util\": 0.5}",
        "  {\"concurrent\": 7, \"depth\": 2, \"load_share\": 0.5, \"x0\": \"8\"}"
      })
  void textAndJsonReportsAreParsedToTheSameLoad(String report) {
    assertEquals(LOAD, LoadReport.parse(report));
  }

  @ParameterizedTest
  @NullAndEmptySource
  @ValueSource(strings = {"TEXT", "queue=NaN", "queue=Infinity", "{\"queue\":", "{}", "=5", "[1]"})
  void aReportWithoutAKnownFiniteNumberIsIgnored(String report) {
    assertEquals(Optional.empty(), LoadReport.parse(report));
  }

  @Test
  void fromJsonAcceptsAnObjectOrTextOnly() {
    assertEquals(LOAD, LoadReport.fromJson(Map.of("inflight", 7, "queue", 2, "util", 0.5)));
    assertEquals(LOAD, LoadReport.fromJson("TEXT inflight=7, queue=2, util=0.5"));
    assertEquals(Optional.empty(), LoadReport.fromJson(List.of(7)));
    assertEquals(Optional.empty(), LoadReport.fromJson(null));
  }
}
