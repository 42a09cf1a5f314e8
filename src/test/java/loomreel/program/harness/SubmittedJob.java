package loomreel.program.harness;

import java.io.IOException;
import java.net.Socket;

/**
 * A job that a test client has sent.
 *
 * @param id its X-Call-Id, which no other job of the tests' JVM has
 * @param connection where its response is received
 */
public record SubmittedJob(String id, Socket connection) {
  /** Waits for the next response on the connection. */
  public HttpMessage response() throws IOException {
    return HttpIo.read(connection);
  }
}
