package loomreel.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import loomreel.io.BufferPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the parsing of requests and responses that arrive at once or in parts, and the rejection of
 * malformed input.
 */
class HttpMessageParserTest {
  private final BufferPool pool = new BufferPool(100);
  private final HttpMessageParser requestParser = new HttpMessageParser(pool, true);
  private final HttpMessageParser responseParser = new HttpMessageParser(pool, false);

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String body(HttpMessage message) {
    return new String(message.body().toArray(), StandardCharsets.ISO_8859_1);
  }

  @Test
  void aChunkedRequestMayArriveByteByByte() throws Exception {
    String text =
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n";
    for (int i = 0; i < text.length() - 1; i++) {
      assertNull(requestParser.feed(bytes(text.substring(i, i + 1))), "complete at byte " + i);
    }

    HttpMessage message = requestParser.feed(bytes(text.substring(text.length() - 1)));

    assertEquals("POST", message.method());
    assertEquals("/a", message.target());
    assertEquals("abcde", body(message));
    assertTrue(requestParser.atStart());
  }

  @Test
  void bytesAfterAMessageAreNotConsumed() throws Exception {
    ByteBuffer in = bytes("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.0\r\n\r\n");

    HttpMessage first = requestParser.feed(in);
    HttpMessage second = requestParser.feed(in);

    assertEquals("/a", first.target());
    assertTrue(first.keepAlive());
    assertEquals("/b", second.target());
    assertFalse(second.keepAlive());
  }

  @Test
  void aResponseWithoutLengthEndsWithItsConnection() throws Exception {
    assertNull(responseParser.feed(bytes("HTTP/1.1 200 OK\r\n\r\nabc")));

    HttpMessage message = responseParser.inputEnded();

    assertEquals("abc", body(message));
    assertFalse(message.keepAlive());
  }

  @Test
  void anEndOfInputWithinAFixedBodyCompletesNoMessage() throws Exception {
    assertNull(responseParser.feed(bytes("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc")));

    assertNull(responseParser.inputEnded());
  }

  @Test
  void theHeadOfAnIncompleteResponseIsReportedOnce() throws Exception {
    responseParser.feed(bytes("HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\n"));

    assertTrue(responseParser.testAndClearHeadReceived());
    assertEquals(202, responseParser.responseStatus());
    assertFalse(responseParser.testAndClearHeadReceived());
  }

  @Test
  void anInterimResponseIsSkipped() throws Exception {
    HttpMessage message =
        responseParser.feed(bytes("HTTP/1.1 102 x\r\n\r\nHTTP/1.1 204 y\r\n\r\n"));

    assertNotNull(message);
    assertEquals(204, message.status());
    assertFalse(responseParser.testAndClearHeadReceived());
  }

  @Test
  void aContinueExpectationEndsWithTheFirstByteOfTheBody() throws Exception {
    requestParser.feed(
        bytes("POST /a HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n"));
    assertTrue(requestParser.expectsContinue());

    requestParser.feed(bytes("x"));

    assertFalse(requestParser.expectsContinue());
  }

  // Columns: the input, the expected status, the expected message.
  @ParameterizedTest
  @CsvSource({
    "'GET /a\r\n\r\n',400,malformed first line",
    "'GET a HTTP/1.1\r\n\r\n',400,malformed first line",
    "'GET /a b HTTP/1.1\r\n\r\n',400,malformed first line",
    "'GET /a HTTP/2.0\r\n\r\n',505,version not supported",
    "'GET /a HTTP/1.1\r\nno colon\r\n\r\n',400,malformed header",
    "'GET /a HTTP/1.1\r\na b: c\r\n\r\n',400,malformed header",
    "'GET /a HTTP/1.1\nb: c\r\n\r\n',400,a line does not end in CRLF",
    "'POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n',400,two lengths",
    "'POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n',400,malformed length",
    "'POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n',413,body too large",
    "'POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n',501,coding not supported",
    "'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n',400,malformed chunk size",
    "'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n',400,a chunk does not end where it should"
  })
  void malformedInputIsRejectedWithItsStatusAndMessage(String text, int status, String message) {
    BadMessageException thrown =
        assertThrows(BadMessageException.class, () -> requestParser.feed(bytes(text)));

    assertEquals(status, thrown.status());
    assertEquals(message, thrown.getMessage());
  }
}
