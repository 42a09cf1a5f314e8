package loomreel.faktory;

import static loomreel.faktory.ProtocolHarness.jobWith;
import static loomreel.faktory.ProtocolHarness.newJid;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import loomreel.standin.FaktoryClient;
import loomreel.standin.RespReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Malformed and wrong commands are answered with errors, and affect no other connection. */
@Timeout(120)
class InvalidCommandTest {
  @RegisterExtension private static final ProtocolHarness HARNESS = new ProtocolHarness();

  /** What follows cannot be parsed, so that the connection is closed; others are not affected. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "*1\r\n$60000000\r\n",
        "$-5\r\n",
        "*-1\r\n",
        "*99999999999\r\n",
        "*1\r\n*1\r\n*1\r\n$4\r\nINFO\r\n"
      })
  void respFramingIsAnErrorAndClosesTheConnection(String bytes) throws Exception {
    try (FaktoryClient link = HARNESS.client()) {
      link.socket().getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
      assertTrue(link.read() instanceof RespReader.ErrorReply);
      assertThrows(IOException.class, link::read);
    }
    try (FaktoryClient link = HARNESS.client()) {
      link.callForJson("INFO");
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "NONSENSE",
        "PUSH",
        "PUSH {",
        "PUSH []",
        "PUSHB {}",
        "PUSHB [1,",
        "PUSHB [] 1",
        "FETCH copies",
        "TRACK",
        "MUTATE {\"cmd\":\"kill\",\"target\":\"all\"}",
        "MUTATE {\"cmd\":\"x\",\"target\":\"dead\"}",
        "BEAT {\"wid\":\"x\"}",
        "FAIL {\"jid\":\"nobody's\"}",
        "TRACK SET {\"jid\":\"nobody's\"}",
        "ACK {",
        "PUSH {\"jid\":\"12345678\"}",
        "PUSH {\"jid\":\"short\",\"jobtype\":\"a\",\"queue\":\"copies\",\"args\":[]}",
        "PUSH {\"jid\":\"12345678\",\"jobtype\":\"a\",\"queue\":\"nowhere\",\"args\":[]}",
        "PUSH {\"jid\":\"12345678\",\"jobtype\":\"a\",\"queue\":\"copies\",\"args\":[],\"at\":\"tomorrow\"}",
        "PUSH {\"jid\":\"12345678\",\"jobtype\":\"a\",\"queue\":\"copies\",\"args\":[],\"priority\":77}",
        "PUSH {\"jid\":\"12345678\",\"jobtype\":\"a\",\"queue\":\"copies\",\"args\":[],\"custom\":{\"cost_us\":1e300}}"
      })
  void aWrongCommandIsAnErrorAndTheConnectionStaysOpen(String command) throws Exception {
    try (FaktoryClient link = HARNESS.client()) {
      assertTrue(link.call(command) instanceof RespReader.ErrorReply, command);
      link.callForJson("INFO");
    }
  }

  @Test
  void aLineThatIsTooLongClosesItsConnection() throws Exception {
    try (FaktoryClient link = HARNESS.client()) {
      link.socket()
          .getOutputStream()
          .write(("PUSH \"" + "x".repeat(300_000)).getBytes(StandardCharsets.UTF_8));
      assertTrue(link.read().toString().contains("over 262144 bytes"));
    } catch (java.net.SocketException e) {
      // The close reset the connection before the rest was sent; the daemon still serves others.
    }
    try (FaktoryClient link = HARNESS.client()) {
      Object answer =
          link.call(
              "PUSH "
                  + jobWith(
                      newJid(), "copies", ",\"custom\":{\"x\":\"" + "x".repeat(70_000) + "\"}"));
      assertTrue(
          answer.toString().contains("61440 bytes"),
          "workers over HTTP could not receive it: " + answer);
      link.callForJson("INFO");
    }
  }
}
