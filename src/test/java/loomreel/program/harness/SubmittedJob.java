package loomreel.program.harness;

import java.io.IOException;
import java.net.Socket;

/**
 * A job that a test client has submitted.
 *
 * @param id the X-Call-Id, which is unique among the jobs that the harness submits in one JVM
 * @param connection the connection on which the client receives the response
 */
public record SubmittedJob(String id, Socket connection) {
  /** Waits for the next response on the connection; null if the connection ends first. */
  public HttpMessage response() throws IOException {
    return HttpIo.read(connection);
  }
}
