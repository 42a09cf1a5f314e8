package loomreel.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import loomreel.ingress.RequestRoute.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the route that {@link RequestRoute} determines for a request. */
class RequestRouteTest {
  private static final Set<String> REQUEST_CLASSES = Set.of("copy", "issue");

  @ParameterizedTest
  // The columns are the target of the request and the expected kind.
  @CsvSource({
    "/health/ready, READINESS_CHECK",
    "/health/ready?verbose=1, READINESS_CHECK",
    "/health/ready/, UNKNOWN",
    "/_jobs/news, STATUS_UPDATE",
    "/_jobs/news/a1, UNKNOWN",
    "/copy, JOB",
    "/copy/a/b?c=/d, JOB",
    "/issue?x, JOB",
    "/copyx, UNKNOWN",
    "/, UNKNOWN",
    "*, UNKNOWN"
  })
  void thePathDeterminesTheKind(String target, Kind kind) {
    assertEquals(kind, RequestRoute.of(target, REQUEST_CLASSES).kind());
  }

  @Test
  void theFirstSegmentIsTheRequestClass() {
    assertEquals("copy", RequestRoute.of("/copy/a/b?c=/d", REQUEST_CLASSES).requestClass());
  }
}
