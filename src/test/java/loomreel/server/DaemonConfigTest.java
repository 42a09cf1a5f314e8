package loomreel.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import loomreel.config.AddressParser;
import loomreel.config.EndpointList;
import loomreel.config.ServeConfig;
import loomreel.decision.DeduplicationScope;
import loomreel.decision.Endpoint;
import loomreel.decision.Idempotency;
import loomreel.decision.Settings;
import loomreel.settings.InstallationFile;
import org.junit.jupiter.api.Test;

/**
 * Verifies that each setting of an installation is translated into the configuration of a
 * dispatcher process.
 */
class DaemonConfigTest {
  /** One second in microseconds. */
  private static final long SECOND = 1_000_000;

  /**
   * A settings file with a value for each key that configures a dispatcher process, except {@code
   * discovery}. The values are distinct as far as possible, so that a test detects a value that is
   * read from the wrong key.
   */
  private static final String FILE_CONTENT =
      """
      name: "d1"
      site: "z2"
      dispatchers: 3
      listen: {http: "127.0.0.1:4", operators: "127.0.0.1:5"}
      workers: w6: {address: "127.0.0.1:7", site: "z8", kind: "k9", block: 10, weight: 11}
      classes: {
        c12: {repeat: "guarded", group: "zone", window: "13s", target: "14s", stretch: 15,
              deadline: "16s", worth: 17, late_worth: 0.18, priority: 19, kind: "k20"}
        c21: {repeat: "free", group: "all", target: "22s", deadline: "23s"}
        c24: {repeat: "single_shot", target: "25s", deadline: "26s"}
      }
      tenants: t27: allowance: 28
      limits: {attempts: 2, second_copies: true, cancelling: false, probing: true,
               hold_off: false, max_hold_off: "29s", memory: "30MiB", descriptors: 310}
      rules: {stop_sending_within: "2s", ask_within: "32s", cold_from: 0.33, cold_for: "34s",
              tip_multiple: 35, fall_within: "36s"}
      network: {connect_within: "37s", idle_for: "38s", reports: "answers", tells_start: true}
      """;

  private static ServeConfig config(String file) throws Exception {
    return DaemonConfig.of(InstallationFile.installation("file", file), 39);
  }

  @Test
  void eachSettingOfTheProcessIsTranslated() throws Exception {
    ServeConfig config = config(FILE_CONTENT);

    ServeConfig expected =
        new ServeConfig(
            "d1",
            AddressParser.parse("127.0.0.1:4"),
            false,
            AddressParser.parse("127.0.0.1:5"),
            null,
            null,
            39,
            310,
            30 << 20,
            new EndpointList(
                EndpointList.UNVERSIONED,
                true,
                List.of(new Endpoint("w6", "z8", "k9", 10, Endpoint.State.READY, 0, 11)),
                Map.of("w6", AddressParser.parse("127.0.0.1:7"))),
            config.settings(),
            37 * SECOND,
            38 * SECOND,
            0,
            Long.MAX_VALUE);
    assertEquals(expected, config);
  }

  @Test
  void eachSettingOfTheDecisionModuleIsTranslated() throws Exception {
    Settings expected =
        Settings.builder()
            .dispatchers(3)
            .zone("z2")
            .classes(config(FILE_CONTENT).settings().classes())
            .tenants(List.of(new Settings.Tenant("t27", 28)))
            .rules(new Settings.Rules(2 * SECOND, 0, 0.33, 34 * SECOND, 35, 36 * SECOND))
            .limits(new Settings.Limits(2, true, false, true, false, 29 * SECOND))
            .pollsEndpoints(false)
            .stableWeights(true)
            .loadReporting(Settings.LoadReporting.WITH_ANSWERS)
            .reportsJobStart(true)
            .tick(1000)
            .clientsMarkRetries(false)
            .build();

    assertEquals(expected, config(FILE_CONTENT).settings());
  }

  @Test
  void eachSettingOfARequestClassIsTranslated() throws Exception {
    List<Settings.RequestClass> expected =
        List.of(
            new Settings.RequestClass(
                "c12",
                "k20",
                19,
                15,
                14 * SECOND,
                16 * SECOND,
                17,
                0.18,
                Idempotency.KEYED,
                DeduplicationScope.ZONE,
                13 * SECOND),
            new Settings.RequestClass(
                "c21",
                null,
                0,
                0,
                22 * SECOND,
                23 * SECOND,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0),
            new Settings.RequestClass(
                "c24",
                null,
                0,
                0,
                25 * SECOND,
                26 * SECOND,
                1,
                0,
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.FAILURE_DOMAIN,
                0));

    assertEquals(expected, config(FILE_CONTENT).settings().classes());
  }

  @Test
  void discoveryIsPolledAtTheConfiguredInterval() throws Exception {
    String workersLine =
        FILE_CONTENT.lines().filter(line -> line.startsWith("workers:")).findFirst().get();

    ServeConfig config = config(FILE_CONTENT.replace(workersLine, "discovery: \"127.0.0.1:40\""));

    assertEquals(AddressParser.parse("127.0.0.1:40"), config.discoveryAddress());
    assertEquals(true, config.settings().pollsEndpoints());
    assertEquals(32 * SECOND, config.settings().rules().pollInterval());
  }
}
