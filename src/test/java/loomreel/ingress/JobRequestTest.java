package loomreel.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import loomreel.http.HttpMessage;
import loomreel.io.BufferPool;
import loomreel.io.ByteQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which job headers {@link JobRequest} accepts, and the values that they are parsed to. */
class JobRequestTest {
  private static final String CALL_ID = "0123456789abcDEF";

  private static Optional<JobRequest> parse(String... namesAndValues) {
    List<String> headers = new ArrayList<>(List.of(namesAndValues));
    ByteQueue body = new ByteQueue(new BufferPool(1));
    return JobRequest.parse(
        new HttpMessage(List.of("POST", "/copy", "HTTP/1.1"), headers, body, true));
  }

  @Test
  void absentOptionalHeadersHaveDefaultValues() {
    JobRequest job = parse("x-call-id", CALL_ID, "x-budget-ms", "1500").orElseThrow();
    assertEquals(new JobRequest(CALL_ID, 1500, 1, Double.NaN, null, null, false, null), job);
  }

  @ParameterizedTest
  // The columns are the value of the header X-Call-Info and the expected number of slots.
  @CsvSource(
      delimiter = '|',
      value = {"slots=3|3", "a=1, slots=2.5 ,slots=9|2.5", "slots|1", "a=b=c,,|1", "slots=0|0"})
  void slotsAreParsedFromTheFirstSlotsField(String jobFields, double slots) {
    JobRequest job =
        parse("x-call-id", CALL_ID, "x-budget-ms", "1", "x-call-info", jobFields).orElseThrow();
    assertEquals(slots, job.slots());
  }

  @ParameterizedTest
  @ValueSource(strings = {"slots=1025", "slots=-1", "slots=1e3", "slots=", "slots=NaN"})
  void slotsOutOfRangeOrMalformedAreRejected(String jobFields) {
    assertTrue(parse("x-call-id", CALL_ID, "x-budget-ms", "1", "x-call-info", jobFields).isEmpty());
  }

  @Test
  void costHintMustBeAPlainDecimalNumber() {
    JobRequest job =
        parse("x-call-id", CALL_ID, "x-budget-ms", "1", "x-call-cost", "12.5").orElseThrow();
    assertEquals(12.5, job.costHint());
    for (String cost : List.of("1e300", "-1", "", "12345678901")) {
      assertTrue(
          parse("x-call-id", CALL_ID, "x-budget-ms", "1", "x-call-cost", cost).isEmpty(), cost);
    }
  }

  @Test
  void toEventReportsOneSlotForAJobWithZeroSlots() {
    JobRequest job =
        parse("x-call-id", CALL_ID, "x-budget-ms", "1", "x-call-info", "slots=0").orElseThrow();
    assertEquals(1, job.toEvent(0, -1, 1000).slots());
  }

  @Test
  void callIdAndBudgetAreRequiredAndMustBeWellFormed() {
    assertTrue(parse("x-budget-ms", "1").isEmpty());
    assertTrue(parse("x-call-id", CALL_ID).isEmpty());
    assertTrue(parse("x-call-id", CALL_ID + "0", "x-budget-ms", "1").isEmpty());
    assertTrue(parse("x-call-id", CALL_ID, "x-budget-ms", "1234567890").isEmpty());
  }
}
