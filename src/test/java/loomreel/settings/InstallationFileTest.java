package loomreel.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import java.nio.file.Files;
import java.nio.file.Path;
import loomreel.settings.cue.Cue;
import loomreel.settings.cue.CueException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The settings file of an installation: values, messages and the JSON Schema. */
class InstallationFileTest {
  private static final String VALID_FILE =
      """
      name: "n"
      listen: http: "127.0.0.1:0"
      classes: copy: {repeat: "free", target: "1s", deadline: "1m30s"}
      workers: w: address: "127.0.0.1:1"
      faktory: {listen: "127.0.0.1:0", queues: "*": class: "copy"}
      """;

  @Test
  void theSampleFileIsValid() throws Exception {
    assertEquals(2, InstallationFile.read(Path.of("deploy/loomreel.cue")).jobClasses().size());
    Installation installation = InstallationFile.installation("f", VALID_FILE);
    assertEquals(90_000_000, installation.jobClasses().get("copy").deadline().micros());
    assertEquals(4 << 20, installation.faktory().maxCommandSize().bytes());
    assertEquals(0.5, installation.faktory().maxCapacityFraction());
    assertEquals(4, installation.limits().maxAttempts());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '~',
      quoteCharacter = '`',
      value = {
        "limits: attempts: 5~f:6:19: limits.attempts: 5 is none of int & >=1 & <=4 | 4",
        "classes: issue: {repeat: \"single_shot\", target: \"9s\", deadline: \"5s\"}~f:6:49:"
            + " classes.issue.target: later than the deadline",
        "discovery: \"127.0.0.1:2\"~f:4:1: workers: workers come from discovery or from this list,"
            + " not both",
        "faktory: job_types: R: class: \"isue\"~f:6:24: faktory.job_types.R.class: no class is"
            + " called isue",
        "faktory: queues: q: {class: \"copy\", tenant: \"t\"}~f:6:37: faktory.queues.q.tenant: no"
            + " tenant is called t",
        "rules: stop_sending_within: \"4s\"~f:6:8: rules.stop_sending_within: nothing new may go to"
            + " a draining worker",
        "listen: operators: \"somewhere\"~f:6:9: listen.operators: \"somewhere\" is not =~",
        "listen: operators: \"127.0.0.1:99999\"~f:6:9: listen.operators: not an address:"
            + " 127.0.0.1:99999",
        "limits: memory: \"999999999999GiB\"~f:6:9: limits.memory: 999999999999GiB is no size",
        "faktry: {}~f:6:1: faktry: no such field; meant faktory?"
      })
  void aProblemIsReportedWithItsPlace(String addition, String message) {
    CueException e =
        assertThrows(
            CueException.class,
            () -> InstallationFile.installation("f", VALID_FILE + addition + "\n"));
    String shown = e.getMessage();
    assertTrue(
        shown
            .lines()
            .anyMatch(
                l ->
                    l.replaceFirst("^(f:\\d+):\\d+", "$1")
                        .startsWith(message.replaceFirst("^(f:\\d+):\\d+", "$1"))),
        shown);
  }

  /** The JSON Schema for editors agrees with the program, as far as JSON Schema can express it. */
  @Test
  void theJsonSchemaAdmitsTheSameFiles() throws Exception {
    ObjectMapper mapper = new ObjectMapper();
    JsonSchema schema =
        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
            .getSchema(InstallationFile.schema().jsonSchema(InstallationFile.INSTALLATION));
    String[] files = {VALID_FILE, Files.readString(Path.of("deploy/loomreel.cue"))};
    for (String file : files) {
      JsonNode valid = mapper.readTree(Cue.read("f", file).toString());
      assertTrue(schema.validate(valid).isEmpty(), () -> schema.validate(valid).toString());
      // A JSON file is a CUE file.
      assertEquals(
          InstallationFile.installation("f", file),
          InstallationFile.installation("f", valid.toString()));
    }
    for (String invalid :
        new String[] {
          "limits: attempts: 5",
          "faktry: {}",
          "listen: operators: \"x\"",
          "classes: z: {repeat: \"twice\", target: \"1s\", deadline: \"2s\"}"
        }) {
      assertTrue(
          !schema
              .validate(mapper.readTree(Cue.read("f", VALID_FILE + invalid).toString()))
              .isEmpty(),
          invalid);
    }
  }
}
