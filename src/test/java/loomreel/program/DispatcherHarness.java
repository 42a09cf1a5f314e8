package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * What stands around a dispatcher in a test: discovery and copy workers that the test plays, and
 * clients.
 */
abstract class DispatcherHarness implements AutoCloseable {
  private static final String SETTINGS =
      """
            {"Balancers":1,"Discovery":"ask","Locality":"n","TickS":0.004,"Specifics":{"TellsStart":false},
             "RequestClasses":[{"Name":"copy","TargetS":20,"DeadlineS":20,"Repeat":"free","Value":5},
              {"Name":"issue","TargetS":20,"DeadlineS":20,"Repeat":"single_shot","Value":2}],
             "PolicyLimits":{"MaxAttempts":4,"Cancelling":true,"SecondCopies":true,"Probing":%s,"RetryAfter":true,
              "MaxRetryAfterS":1.5,"ConnectTimeoutS":5,"ConnIdleS":60},"Telemetry":{"How":"%s"},
             "Invariants":{"StopSendingWithinS":3,"AskWithinS":0.5,"ColdFrom":0.2,"ColdS":20,"TipMultiple":3,
              "FallS":2,"AnswerSlackS":0.016}}""";
  private static int ids;

  Http.Peer discovery = new Http.Peer();
  final List<Http.Peer> workers = new ArrayList<>();

  DispatcherHarness(int workerCount) throws IOException {
    for (int i = 0; i < workerCount; i++) {
      workers.add(new Http.Peer());
    }
  }

  /** Where the dispatcher listens. */
  abstract int port();

  /** What the dispatcher is configured with, before the test changes it. */
  String configuration(boolean probing) {
    return configuration(SETTINGS.formatted(probing, probing ? "probe" : "none"));
  }

  /** The same with settings of the test's own. */
  String configuration(String settings) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
        + discovery.address()
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
        + "\"known\":"
        + list(41, true, "SERVING")
        + ",\"settings\":"
        + settings
        + "}";
  }

  /**
   * All copy workers, w0, w1 and so on, in the given states; where none is left the last one serves
   * on.
   */
  String list(int seq, boolean whole, String... health) {
    StringBuilder hosts = new StringBuilder();
    for (int i = 0; i < workers.size(); i++) {
      hosts
          .append(i == 0 ? "" : ",")
          .append("{\"host\":\"w")
          .append(i)
          .append("\",\"dial\":\"")
          .append(workers.get(i).address())
          .append("\",\"site\":\"n\",\"class\":\"k\",\"block\":0,\"health\":\"")
          .append(health[Math.min(i, health.length - 1)])
          .append("\",\"share\":1.0,\"born_ms\":0}");
    }
    return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}";
  }

  Socket connect() throws IOException {
    return connect(port());
  }

  Socket connect(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port);
    socket.setSoTimeout(Http.PATIENCE_MS);
    return socket;
  }

  /** A new id, and a job of that id on its way. */
  record Job(String id, Socket socket) {
    Http.Message answer() throws IOException {
      return Http.read(socket);
    }
  }

  Job job(String path, String body) throws IOException {
    return job(connect(), path, 20_000, body);
  }

  Job job(Socket socket, String path, int budget, String body) throws IOException {
    return job(socket, path, budget, "", body);
  }

  /** A job that carries what copy workers tell its repeats by. */
  Job keyed(String path, String key) throws IOException {
    return job(connect(), path, 20_000, "Idempotency-Key: " + key + "\r\n", "");
  }

  private static Job job(Socket socket, String path, int budget, String more, String body)
      throws IOException {
    String id = String.format("%016x", ++ids);
    Http.write(
        socket,
        "POST "
            + path
            + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: "
            + id
            + "\r\nX-Budget-Ms: "
            + budget
            + "\r\n"
            + more
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
    return new Job(id, socket);
  }

  /** A copy worker's call-back; the status of the answer. */
  int news(String id, String from, String state, String more) throws IOException {
    return request(
            "POST /_jobs/news HTTP/1.1\r\nHost: x\r\n",
            "{\"id\":\""
                + id
                + "\",\"from\":\""
                + from
                + "\",\"state\":\""
                + state
                + "\""
                + more
                + "}")
        .status();
  }

  Http.Message request(String head, String body) throws IOException {
    try (Socket socket = connect()) {
      Http.write(socket, head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
      return Http.read(socket);
    }
  }

  /** Lets a copy worker take the job that comes next and serve it. */
  void serve(int worker, String result) throws Exception {
    Http.Message post = workers.get(worker).next();
    post.answer(202, "");
    assertEquals(
        200,
        news(post.header("X-Call-Id"), "w" + worker, "done", ",\"result\":\"" + result + "\""));
  }

  /** Has so many jobs served, all of them by this one of two copy workers. */
  void allGoTo(int worker, int jobs) throws Exception {
    for (int i = 0; i < jobs; i++) {
      Job job = job("/copy", "");
      serve(worker, "r");
      assertEquals("r", job.answer().body());
    }
    assertFalse(workers.get(1 - worker).wasAsked());
  }

  @Override
  public void close() throws IOException {
    discovery.close();
    for (Http.Peer worker : workers) {
      worker.close();
    }
  }
}
