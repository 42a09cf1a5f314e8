package loomreel.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies the paths and HTTP methods of the requests that operators send. Paths and methods are
 * part of the public interface and must not change.
 */
class AdminRouteTest {
  @ParameterizedTest
  @CsvSource({
    "GET, /ops/readiness, READINESS",
    "GET, /ops/stats, STATS",
    "POST, /ops/copy-workers/down, DISABLE_WORKER",
    "POST, /ops/copy-workers/up, ENABLE_WORKER",
    "POST, /ops/drain/start, START_DRAIN",
    "POST, /ops/drain/stop, STOP_DRAIN"
  })
  void eachPathHasItsRouteAndMethod(String method, String path, AdminRoute route) {
    assertEquals(Optional.of(route), AdminRoute.of(path));
    assertEquals(method, route.method());
    assertEquals(path, route.path());
  }

  @Test
  void thereAreNoOtherRoutes() {
    assertEquals(6, AdminRoute.values().length);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "/", "/ops", "/ops/stats/", "/ops/stats?x=1", "/OPS/stats"})
  void noRouteIsFoundForAnyOtherTarget(String target) {
    assertEquals(Optional.empty(), AdminRoute.of(target));
  }
}
