package loomreel.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import loomreel.standin.FaktoryClient;
import loomreel.standin.RespReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Only clients with the password and the version of the protocol are admitted. */
@Timeout(120)
class HandshakeRejectionTest {
  @RegisterExtension private static final ProtocolHarness HARNESS = new ProtocolHarness();

  @Test
  void onlyThePasswordAndTheVersionAdmitAClient() throws Exception {
    assertThrows(IOException.class, () -> new FaktoryClient(HARNESS.faktory(), "wrong", null));
    for (String hello :
        new String[] {
          "HELLO {\"v\":2}",
          "HELLO {\"v\":1}",
          "HELLO what",
          "HELLO",
          "PUSH {}",
          "INFO",
          "",
          "HELLO {\"v\":2,\"pwdhash\":\"\"}",
          "HELLO [2]"
        }) {
      try (Socket socket = HARNESS.connect()) {
        socket.setSoTimeout(30_000);
        InputStream in = socket.getInputStream();
        assertTrue(
            RespReader.read(in)
                .toString()
                .startsWith("HI {\"v\":2,\"i\":" + ProtocolHarness.HASH_ITERATIONS + ",\"s\":"));
        socket.getOutputStream().write((hello + "\r\n").getBytes(StandardCharsets.UTF_8));
        assertTrue(RespReader.read(in) instanceof RespReader.ErrorReply, hello);
        assertEquals(-1, in.read(), "the connection is closed");
      }
    }
    try (FaktoryClient link = HARNESS.client()) {
      assertEquals("OK", link.call("END"));
    }
  }
}
