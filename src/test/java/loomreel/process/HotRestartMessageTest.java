package loomreel.process;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies the format of messages. The format must not change, because processes of different
 * versions exchange messages.
 */
class HotRestartMessageTest {
  /**
   * Returns the HTTP request in which a message is sent. The format is the same in all versions.
   */
  private static String httpRequest(String wireName, long callbackNumber, String body) {
    return "POST /"
        + wireName
        + " HTTP/1.1\r\nHost: sibling\r\nX-Number: "
        + callbackNumber
        + "\r\nContent-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length
        + "\r\n\r\n"
        + body;
  }

  private static String encoded(HotRestartMessage message) {
    return message.head() + message.text();
  }

  @ParameterizedTest
  @CsvSource({
    "CALL_ID_ACQUIRED, holds, 00ab",
    "CALL_ID_RELEASED, frees, 00ab",
    "HANDING_OVER, leaving, ''",
    "WORKER_DISABLED, down, w0",
    "WORKER_ENABLED, up, w0",
    "CLIENT_DRAIN_STARTED, drain, ''",
    "CLIENT_DRAIN_STOPPED, serve, ''",
    "OPERATOR_OVERRIDES, state, 'down wé'"
  })
  void aOneWayMessageIsEncodedAndDecodedInTheFormatThatAllVersionsUse(
      HotRestartMessage.Type type, String wireName, String body) {
    assertEquals(
        httpRequest(wireName, 0, body), encoded(HotRestartMessage.oneWayMessage(type, body)));
    HotRestartMessage read =
        HotRestartMessage.decode("/" + wireName, "0", body.getBytes(StandardCharsets.UTF_8));
    assertEquals(type, read.type());
    assertEquals(body, read.text());
  }

  @Test
  void aCallbackIsEncodedAndDecodedWithItsNumberAndBytes() {
    byte[] callback = {'{', (byte) 0xff, '}'};
    HotRestartMessage message = HotRestartMessage.callback(7, callback);
    assertEquals(
        "POST /news HTTP/1.1\r\nHost: sibling\r\nX-Number: 7\r\nContent-Length: 3\r\n\r\n",
        message.head());
    HotRestartMessage read = HotRestartMessage.decode("/news", "7", callback);
    assertEquals(HotRestartMessage.Type.CALLBACK, read.type());
    assertEquals(7, read.callbackNumber());
    assertArrayEquals(callback, read.body());
  }

  @Test
  void theConfirmationOfACallbackIsEncodedAndDecodedWithItsNumber() {
    assertEquals(httpRequest("taken", 7, ""), encoded(HotRestartMessage.callbackHandled(7)));
    HotRestartMessage read = HotRestartMessage.decode("/taken", "7", new byte[0]);
    assertEquals(HotRestartMessage.Type.CALLBACK_HANDLED, read.type());
    assertEquals(7, read.callbackNumber());
  }

  @Test
  void decodingThrowsForAnUnknownTargetOrAMissingCallbackNumber() {
    assertThrows(
        IllegalArgumentException.class, () -> HotRestartMessage.decode("/other", "0", new byte[0]));
    assertThrows(
        IllegalArgumentException.class,
        () -> HotRestartMessage.decode("/holds", null, new byte[0]));
  }
}
