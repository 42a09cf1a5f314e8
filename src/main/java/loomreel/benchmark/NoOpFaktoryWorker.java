package loomreel.benchmark;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loomreel.standin.BackgroundThreads;
import loomreel.standin.FaktoryClient;

/** A Faktory worker that acknowledges each job at once, as fast as its connections allow. */
final class NoOpFaktoryWorker implements AutoCloseable {
  private static final String WORKER_ID = "measured";
  private static final long HEARTBEAT_INTERVAL_MS = 5000;

  private final List<FaktoryClient> connections = new ArrayList<>();

  /**
   * Starts the worker.
   *
   * @param slots how many connections fetch, one job at a time each
   */
  NoOpFaktoryWorker(InetSocketAddress server, String queue, int slots) throws IOException {
    for (int i = 0; i < slots; i++) {
      FaktoryClient connection = connect(server, slots);
      BackgroundThreads.start(() -> fetchAndAcknowledge(connection, queue));
    }
    FaktoryClient heartbeats = connect(server, slots);
    BackgroundThreads.start(() -> sendHeartbeats(heartbeats));
  }

  private FaktoryClient connect(InetSocketAddress server, int slots) throws IOException {
    FaktoryClient connection =
        new FaktoryClient(server, null, WORKER_ID, "slots=" + slots, "kind=faktory");
    connections.add(connection);
    return connection;
  }

  private static void fetchAndAcknowledge(FaktoryClient connection, String queue)
      throws IOException {
    while (true) {
      if (connection.call("FETCH " + queue) instanceof String job) {
        String id = BenchmarkJobs.textField(job, "jid");
        connection.callExpectingOk("ACK {\"jid\":\"" + id + "\"}");
      }
    }
  }

  private static void sendHeartbeats(FaktoryClient connection)
      throws IOException, InterruptedException {
    while (true) {
      connection.callExpectingOk("BEAT {\"wid\":\"" + WORKER_ID + "\"}");
      Thread.sleep(HEARTBEAT_INTERVAL_MS);
    }
  }

  @Override
  public void close() throws IOException {
    for (FaktoryClient connection : connections) {
      connection.close();
    }
  }
}
