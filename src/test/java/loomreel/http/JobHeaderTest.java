package loomreel.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the names of the headers of the job protocol. */
class JobHeaderTest {
  private static HttpMessage messageWithHeaders(String... namesAndValues) {
    return new HttpMessage(List.of(), List.of(namesAndValues), null, true);
  }

  // Columns: the header, its name in written lines, its name in received messages.
  @ParameterizedTest
  @CsvSource({
    "CALL_ID, X-Call-Id, x-call-id",
    "BUDGET_MILLIS, X-Budget-Ms, x-budget-ms",
    "JOB_FIELDS, X-Call-Info, x-call-info",
    "COST_HINT, X-Call-Cost, x-call-cost",
    "AFFINITY_KEY, X-Route-Hash, x-route-hash",
    "TENANT, X-Caller, x-caller",
    "IS_RETRY, X-Again, x-again",
    "IDEMPOTENCY_KEY, Idempotency-Key, idempotency-key",
    "IS_REJECTED, X-Rejected, x-rejected",
    "LOAD_REPORT, X-Load-Report, x-load-report"
  })
  void eachHeaderIsWrittenAndReadUnderItsName(JobHeader header, String written, String received) {
    assertEquals(written + ": v", header.line("v"));
    assertEquals("v", header.valueIn(messageWithHeaders("other", "x", received, "v")));
    assertNull(header.valueIn(messageWithHeaders("other", "x")));
  }

  @Test
  void thereAreTenHeaders() {
    assertEquals(10, JobHeader.values().length);
  }

  @Test
  void aFlagIsSetOnlyByTheValueOne() {
    assertTrue(JobHeader.IS_RETRY.isSetIn(messageWithHeaders("x-again", "1")));
    assertFalse(JobHeader.IS_RETRY.isSetIn(messageWithHeaders("x-again", "true")));
    assertFalse(JobHeader.IS_RETRY.isSetIn(messageWithHeaders()));
  }
}
