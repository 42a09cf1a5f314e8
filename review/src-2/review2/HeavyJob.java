package review2;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.standin.FaktoryClient;

/**
 * Faktory jobs at Faktory workers, on a site whose settings say that workers tell of starts. Some
 * jobs cost eleven times the usual work. Each job that a worker acknowledges has to be done.
 */
final class HeavyJob {
  private static final long USUAL_MS = 130;
  private static final int HEAVY_FACTOR = 11;
  private static final int JOBS = 300;
  private static final int HEAVY_EVERY = 50;
  private static final long PAUSE_MS = 50;

  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, Long> acknowledged = new ConcurrentHashMap<>();

  public static void main(String[] arguments) throws Exception {
    Kit.run(new HeavyJob()::isRuleBroken);
  }

  private boolean isRuleBroken(Kit kit) throws Exception {
    int listen = Kit.freePort();
    int faktory = Kit.freePort();
    Discovery discovery = new Discovery();
    Path config =
        Deployment.fukuokaBooking("zone").write(kit.temp.resolve("c.json"), listen, discovery);
    Path settings = kit.temp.resolve("faktory.cue");
    Files.writeString(
        settings,
        "faktory: {listen: \"127.0.0.1:"
            + faktory
            + "\", queues: {confirm: class: \"slot-confirm\", hold: class: \"slot-hold\"}, spool: \""
            + kit.temp.resolve("spool")
            + "\"}\n");
    kit.start(
        Kit.runCommand() + " --settings " + settings,
        Map.of("BALANCER_CONFIG", config.toString(), "TMPDIR", kit.temp.toString()),
        "dispatcher.log");
    Kit.awaitOk(listen, "/health/ready", 20_000);
    List<PullWorker> workers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      workers.add(new PullWorker("w" + i, faktory, 6, "confirm hold", this::work, this::acked));
    }
    Kit.pause(1500);
    try (FaktoryClient client = new FaktoryClient(Kit.loopback(faktory))) {
      for (int i = 0; i < JOBS; i++) {
        boolean heavy = Kit.hasTrouble() && i % HEAVY_EVERY == HEAVY_EVERY - 1;
        String queue = i % 5 < 2 ? "confirm" : "hold";
        if (heavy && i / HEAVY_EVERY % 2 == 0) {
          queue = "confirm";
        }
        String jid = "job-" + queue + "-" + i;
        long work = heavy ? USUAL_MS * HEAVY_FACTOR : USUAL_MS;
        String job =
            "{\"jid\":\"" + jid + "\",\"jobtype\":\"Book\",\"queue\":\"" + queue + "\",\"args\":["
                + work + "]}";
        Object reply = client.call("PUSH " + job);
        if (!"OK".equals(reply)) {
          throw new IllegalStateException("PUSH was answered " + reply);
        }
        if (heavy) {
          kit.note("pushed the heavy job " + jid + " work_ms=" + work);
        }
        Kit.pause(PAUSE_MS);
      }
      kit.note("pushed " + JOBS + " jobs");
      Kit.pause(8_000);
      int notDone = 0;
      int twice = 0;
      for (String jid : runs.keySet()) {
        JsonNode state = Kit.json(client.call("TRACK GET " + jid));
        boolean isDone = state.path("state").asText().equals("success");
        int count = runs.get(jid).get();
        if (acknowledged.containsKey(jid) && !isDone) {
          notDone++;
          kit.note("acknowledged after " + acknowledged.get(jid) + " ms, runs=" + count + ", but " + state);
        }
        twice += count > 1 ? 1 : 0;
      }
      kit.note(
          "jobs=" + JOBS + " run=" + runs.size() + " acknowledged=" + acknowledged.size()
              + " acknowledged_but_not_done=" + notDone + " run_more_than_once=" + twice);
      kit.noteLog("dispatcher.log", 15);
      workers.forEach(PullWorker::close);
      return notDone > 0;
    }
  }

  private String work(PullWorker worker, FaktoryClient link, JsonNode job) {
    String jid = job.path("custom").path("client_jid").asText();
    runs.computeIfAbsent(jid, absent -> new AtomicInteger()).incrementAndGet();
    Kit.pause(job.path("args").path(0).asLong());
    return "booked " + jid;
  }

  private void acked(JsonNode job, String result) {
    acknowledged.put(
        job.path("custom").path("client_jid").asText(), job.path("args").path(0).asLong());
  }
}
