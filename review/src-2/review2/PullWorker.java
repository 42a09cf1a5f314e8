package review2;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import loomreel.standin.FaktoryClient;

/**
 * A Faktory worker: one connection for each slot, which fetches, runs, acknowledges and fetches
 * again, and one for BEAT. Reports neither starts nor progress, as libraries of Faktory do.
 */
final class PullWorker implements AutoCloseable {
  /** Runs a job and returns its result. */
  interface Runner {
    String run(PullWorker worker, FaktoryClient link, JsonNode job) throws Exception;
  }

  /** Hears that an ACK was answered OK. */
  interface Acknowledged {
    void acknowledged(JsonNode job, String result);
  }

  /** The result of a job that the worker reports by FAIL. */
  static final String FAIL = new String("FAIL");

  final String wid;
  private final InetSocketAddress server;
  private final String queues;
  private final Runner runner;
  private final Acknowledged acknowledged;
  private final List<FaktoryClient> links = new CopyOnWriteArrayList<>();
  private volatile boolean stopped;

  PullWorker(
      String wid, int port, int slots, String queues, Runner runner, Acknowledged acknowledged) {
    this.wid = wid;
    this.server = Kit.loopback(port);
    this.queues = queues;
    this.runner = runner;
    this.acknowledged = acknowledged;
    for (int i = 0; i < slots; i++) {
      thread(this::fetch);
    }
    thread(this::beat);
  }

  private interface Loop {
    void run(FaktoryClient link) throws Exception;
  }

  private void thread(Loop loop) {
    Thread thread =
        new Thread(
            () -> {
              while (!stopped) {
                try (FaktoryClient link = new FaktoryClient(server, null, wid)) {
                  links.add(link);
                  loop.run(link);
                } catch (Exception e) {
                  Kit.pause(200);
                }
              }
            },
            wid);
    thread.setDaemon(true);
    thread.start();
  }

  private void fetch(FaktoryClient link) throws Exception {
    while (!stopped) {
      Object reply = link.call("FETCH " + queues);
      if (reply instanceof String text) {
        JsonNode job = Kit.JSON.readTree(text);
        String result = runner.run(this, link, job);
        if (result == FAIL) {
          link.call(
              "FAIL "
                  + Kit.object()
                      .put("jid", job.path("jid").asText())
                      .put("errtype", "RecordNotFound")
                      .put("message", "no such record"));
          continue;
        }
        Object answer =
            link.call(
                "ACK "
                    + Kit.object().put("jid", job.path("jid").asText()).put("result", result));
        if ("OK".equals(answer)) {
          acknowledged.acknowledged(job, result);
        }
      }
    }
  }

  private void beat(FaktoryClient link) throws IOException {
    while (!stopped) {
      link.call("BEAT " + Kit.object().put("wid", wid));
      Kit.pause(1000);
    }
  }

  @Override
  public void close() {
    stopped = true;
    for (FaktoryClient link : links) {
      try {
        link.close();
      } catch (IOException e) {
        // It is closed either way.
      }
    }
  }
}
