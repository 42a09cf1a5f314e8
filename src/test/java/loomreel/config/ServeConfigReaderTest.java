package loomreel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import loomreel.decision.DeduplicationScope;
import loomreel.decision.Idempotency;
import loomreel.decision.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies from which key of the platform's JSON configuration each value of a {@link ServeConfig}
 * is read.
 */
class ServeConfigReaderTest {
  /**
   * A configuration that contains each key. The values other than flags are distinct, so that a
   * test detects a value that is read from the wrong key.
   */
  private static final String DOCUMENT =
      """
      {
        "name": "d1", "listen": "127.0.0.1:11", "mgmt": "127.0.0.1:12",
        "discovery": "127.0.0.1:13", "seed": "ff", "limits": {"sockets": 14, "memory_mb": 15},
        "known": {"seq": 16, "whole": true, "hosts": []},
        "settings": {
          "Balancers": 17, "Locality": "z18", "TickS": 0.019, "Discovery": "ask",
          "Weights": "live", "Callers": {"MarksRetry": true}, "Telemetry": {"How": "answers"},
          "HostTypes": ["k20", "k21"],
          "RequestClasses": [
            {"Name": "c22", "TargetS": 23, "AimStretch": 24, "DeadlineS": 25, "Value": 26,
             "LateValue": 27, "Repeat": "guarded", "Group": "zone", "WindowS": 28},
            {"Name": "c29", "TargetS": 30, "AimStretch": 31, "DeadlineS": 32, "Value": 33,
             "LateValue": 34, "Repeat": "free", "Group": "all", "WindowS": 35},
            {"Name": "c36", "Repeat": "single_shot", "Group": "cell"}],
          "Tenants": [{"Name": "t37", "AllowancePerS": 38}, {"Name": "t39"}],
          "Specifics": {"TellsStart": true, "ClassPriority": [40, 41],
                        "ClassStretch": [42], "ClassKind": ["k43", 1]},
          "Invariants": {"StopSendingWithinS": 44, "AskWithinS": 45, "ColdFrom": 46, "ColdS": 47,
                         "TipMultiple": 48, "FallS": 49, "AnswerSlackS": 50},
          "PolicyLimits": {"MaxAttempts": 51, "SecondCopies": true, "Cancelling": false,
                           "Probing": true, "RetryAfter": false, "MaxRetryAfterS": 52,
                           "ConnectTimeoutS": 53, "ConnIdleS": 54}
        }
      }
      """;

  /** One second in microseconds. */
  private static final long SECOND = 1_000_000;

  @TempDir private Path directory;

  private ServeConfig read(String document) throws Exception {
    Path file = Files.writeString(directory.resolve("config.json"), document);
    return ServeConfigReader.read(Map.of("BALANCER_CONFIG", file.toString(), "TMPDIR", "state"));
  }

  @Test
  void eachValueOfServeConfigIsReadFromItsKey() throws Exception {
    ServeConfig config = read(DOCUMENT);

    ServeConfig expected =
        new ServeConfig(
            "d1",
            AddressParser.parse("127.0.0.1:11"),
            false,
            AddressParser.parse("127.0.0.1:12"),
            Path.of("state"),
            AddressParser.parse("127.0.0.1:13"),
            0xff,
            14,
            15 << 20,
            new EndpointList(16, true, List.of(), Map.of()),
            config.settings(),
            53 * SECOND,
            54 * SECOND,
            50 * SECOND,
            3_700_000);
    assertEquals(expected, config);
  }

  @Test
  void eachValueOfSettingsIsReadFromItsKey() throws Exception {
    Settings settings = read(DOCUMENT).settings();

    assertEquals(17, settings.dispatchers());
    assertEquals("z18", settings.zone());
    assertEquals(19_000, settings.tick());
    assertTrue(settings.pollsEndpoints());
    assertEquals(false, settings.stableWeights());
    assertTrue(settings.clientsMarkRetries());
    assertTrue(settings.reportsJobStart());
    assertEquals(Settings.LoadReporting.WITH_ANSWERS, settings.loadReporting());
    assertEquals(
        List.of(
            new Settings.Tenant("t37", 38), new Settings.Tenant("t39", Double.POSITIVE_INFINITY)),
        settings.tenants());
    assertEquals(
        new Settings.Rules(44 * SECOND, 45 * SECOND, 46, 47 * SECOND, 48, 49 * SECOND),
        settings.rules());
    assertEquals(new Settings.Limits(51, true, false, true, false, 52 * SECOND), settings.limits());
  }

  @Test
  void eachValueOfARequestClassIsReadFromItsKey() throws Exception {
    List<Settings.RequestClass> expected =
        List.of(
            new Settings.RequestClass(
                "c22",
                "k43",
                40,
                42,
                23 * SECOND,
                25 * SECOND,
                26,
                27,
                Idempotency.KEYED,
                DeduplicationScope.ZONE,
                28 * SECOND),
            new Settings.RequestClass(
                "c29",
                "k21",
                41,
                31,
                30 * SECOND,
                32 * SECOND,
                33,
                34,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                35 * SECOND),
            new Settings.RequestClass(
                "c36",
                null,
                0,
                0,
                0,
                0,
                1,
                0,
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.FAILURE_DOMAIN,
                0));

    assertEquals(expected, read(DOCUMENT).settings().classes());
  }

  /**
   * Enables at most one flag at a time. The parameters are four pairs of a JSON key and its value,
   * followed by the expected flags, in the same order, as digits.
   */
  @ParameterizedTest
  @CsvSource({
    "SecondCopies, false, Cancelling, false, Probing, false, RetryAfter, false, 0000",
    "SecondCopies, true, Cancelling, false, Probing, false, RetryAfter, false, 1000",
    "SecondCopies, false, Cancelling, true, Probing, false, RetryAfter, false, 0100",
    "SecondCopies, false, Cancelling, false, Probing, true, RetryAfter, false, 0010",
    "SecondCopies, false, Cancelling, false, Probing, false, RetryAfter, true, 0001"
  })
  void eachFlagOfTheLimitsIsReadFromItsKey(
      String hedging,
      boolean hedgingEnabled,
      String cancellation,
      boolean cancellationEnabled,
      String healthChecks,
      boolean healthChecksEnabled,
      String retryAfter,
      boolean retryAfterEnabled,
      String expected)
      throws Exception {
    String flags =
        "{\"%s\": %s, \"%s\": %s, \"%s\": %s, \"%s\": %s}"
            .formatted(
                hedging,
                hedgingEnabled,
                cancellation,
                cancellationEnabled,
                healthChecks,
                healthChecksEnabled,
                retryAfter,
                retryAfterEnabled);

    Settings.Limits limits =
        new SettingsReader(
                Map.of("PolicyLimits", JsonTree.read(flags.getBytes(StandardCharsets.UTF_8))))
            .read()
            .limits();

    String actual =
        digit(limits.hedging())
            + digit(limits.cancellation())
            + digit(limits.healthChecks())
            + digit(limits.retryAfter());
    assertEquals(expected, actual);
  }

  private static String digit(boolean flag) {
    return flag ? "1" : "0";
  }

  @ParameterizedTest
  @CsvSource({"answers, WITH_ANSWERS", "probe, WITH_HEALTH_CHECKS", "other, NONE"})
  void eachLoadReportingModeIsTranslated(String mode, Settings.LoadReporting expected) {
    Settings settings = new SettingsReader(Map.of("Telemetry", Map.of("How", mode))).read();

    assertEquals(expected, settings.loadReporting());
  }

  /**
   * Verifies that {@link #DOCUMENT} contains each constant of {@link SettingsKeys}, so that no key
   * is untested. The value {@code probe} is not in the document; {@link
   * #eachLoadReportingModeIsTranslated} tests it.
   */
  @Test
  void theDocumentContainsEachKeyAndValue() throws Exception {
    for (Field key : SettingsKeys.class.getDeclaredFields()) {
      if (key.getType() == String.class) {
        boolean isInDocument = DOCUMENT.contains("\"" + key.get(null) + "\"");
        assertTrue(isInDocument || key.get(null).equals("probe"), key + " " + key.get(null));
      }
    }
  }

  @Test
  void theErrorMessageNamesTheFileAndTheMissingField() {
    ConfigException error =
        assertThrows(
            ConfigException.class, () -> read(DOCUMENT.replace("\"listen\"", "\"other\"")));

    assertEquals(
        directory.resolve("config.json") + ": no listen, and BALANCER_LISTEN is not set",
        error.getMessage());
  }
}
