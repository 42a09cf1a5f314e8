package loomreel.program.harness;

import java.io.IOException;
import java.net.Socket;

/**
 * A job that a test client has submitted.
 *
 * @param id the value of the X-Call-Id header, which is unique among the jobs that the harness
 *     submits in one JVM
 * @param connection the connection on which the client receives the response
 */
public record SubmittedJob(String id, Socket connection) {
  /**
   * Waits for the next response on the connection.
   *
   * @return the response, or null if the connection ends before a response arrives
   */
  public HttpMessage response() throws IOException {
    return HttpIo.read(connection);
  }
}
