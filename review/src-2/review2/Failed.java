package review2;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.standin.FaktoryClient;

/**
 * Three of a thousand jobs of a free class cannot be done: each worker that gets one answers FAIL.
 * Each of them has to end as dead once its `retry` is used up, and all other jobs have to be done,
 * also those that come later, when there is less to do.
 */
final class Failed {
  private static final int BUSY_JOBS = 4_000;
  private static final long BUSY_JOBS_PER_SECOND = 120;
  private static final int BAD_EVERY = 333;
  private static final int QUIET_JOBS = 20;
  private static final long QUIET_PUSH_EVERY_MS = 500;
  private static final long QUIET_MS = 8_000;
  private static final long SETTLE_MS = 30_000;

  /** -1: dead at the first failure. */
  private static final int RETRY_OF_BAD = -1;

  /** At most so many attempts for each activation. */
  private static final int MAX_ATTEMPTS = 4;

  private static final long WORK_MS = 5;

  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Set<String> acknowledged = ConcurrentHashMap.newKeySet();

  public static void main(String[] arguments) throws Exception {
    Kit.run(new Failed()::isRuleBroken);
  }

  private boolean isRuleBroken(Kit kit) throws Exception {
    int listen = Kit.freePort();
    int faktory = Kit.freePort();
    Discovery discovery = new Discovery();
    Path config = Deployment.arqCopies().write(kit.temp.resolve("c.json"), listen, discovery);
    Path settings = kit.temp.resolve("faktory.cue");
    Files.writeString(
        settings,
        "faktory: {listen: \"127.0.0.1:"
            + faktory
            + "\", queues: {copies: class: \"copy\", issues: class: \"issue\"}, spool: \""
            + kit.temp.resolve("spool")
            + "\"}\n");
    kit.start(
        Kit.runCommand() + " --settings " + settings,
        Map.of("BALANCER_CONFIG", config.toString(), "TMPDIR", kit.temp.toString()),
        "dispatcher.log");
    Kit.awaitOk(listen, "/health/ready", 20_000);
    List<PullWorker> workers = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      workers.add(new PullWorker("w" + i, faktory, 2, "copies issues", this::work, this::acked));
    }
    Kit.pause(1_500);
    try (FaktoryClient client = new FaktoryClient(Kit.loopback(faktory))) {
      List<String> good = new ArrayList<>();
      List<String> bad = new ArrayList<>();
      long start = System.nanoTime();
      for (int i = 1; i <= BUSY_JOBS; i++) {
        boolean isBad = i % BAD_EVERY == 0;
        String jid = (isBad ? "bad-job-" : "good-job-") + String.format("%04d", i);
        (isBad ? bad : good).add(jid);
        push(client, jid, isBad ? RETRY_OF_BAD : 25);
        long due = start + i * 1_000_000_000L / BUSY_JOBS_PER_SECOND;
        Kit.pause(Math.max(0, (due - System.nanoTime()) / 1_000_000));
        if (i % 500 == 0) {
          kit.note("pushed=" + i + " acknowledged=" + acknowledged.size());
        }
      }
      Kit.pause(QUIET_MS);
      kit.note("after a quiet time: acknowledged=" + acknowledged.size());
      for (int i = 0; i < QUIET_JOBS; i++) {
        String jid = "late-job-" + String.format("%04d", i);
        good.add(jid);
        push(client, jid, 25);
        Kit.pause(QUIET_PUSH_EVERY_MS);
      }
      kit.note("pushed " + QUIET_JOBS + " more; acknowledged=" + acknowledged.size());
      Kit.pause(SETTLE_MS);
      Map<String, Integer> states = new TreeMap<>();
      int goodNotDone = 0;
      for (String jid : good) {
        String state = Kit.json(client.call("TRACK GET " + jid)).path("state").asText();
        goodNotDone += state.equals("success") ? 0 : 1;
        states.merge(state + (jid.startsWith("late") ? " (late)" : ""), 1, Integer::sum);
      }
      int badNotEnded = 0;
      int badRunTooOften = 0;
      for (String jid : bad) {
        JsonNode state = Kit.json(client.call("TRACK GET " + jid));
        int count = runs.getOrDefault(jid, new AtomicInteger()).get();
        String isState = state.path("state").asText();
        badNotEnded += isState.equals(Kit.hasTrouble() ? "dead" : "success") ? 0 : 1;
        badRunTooOften += count > MAX_ATTEMPTS ? 1 : 0;
        kit.note(
            jid + " retry=" + RETRY_OF_BAD + " runs=" + count + " state=" + isState + " failures="
                + state.path("failures") + " reason=" + state.path("reason").asText());
      }
      kit.noteLog("dispatcher.log", 6);
      kit.note("states of the good jobs: " + states);
      kit.note(
          "good=" + good.size() + " good_not_done=" + goodNotDone + " bad=" + bad.size()
              + " bad_not_ended=" + badNotEnded + " bad_run_more_than_" + MAX_ATTEMPTS + "_times="
              + badRunTooOften);
      workers.forEach(PullWorker::close);
      return badNotEnded > 0 || badRunTooOften > 0 || goodNotDone > 0;
    }
  }

  private static void push(FaktoryClient client, String jid, int retry) throws IOException {
    client.callExpectingOk(
        "PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"Renew\",\"queue\":\"copies\",\"retry\":" + retry
            + ",\"args\":[\"" + jid + "\"]}");
  }

  private String work(PullWorker worker, FaktoryClient link, JsonNode job) throws Exception {
    String jid = job.path("custom").path("client_jid").asText();
    runs.computeIfAbsent(jid, absent -> new AtomicInteger()).incrementAndGet();
    Kit.pause(WORK_MS);
    return Kit.hasTrouble() && jid.startsWith("bad") ? PullWorker.FAIL : "copied";
  }

  private void acked(JsonNode job, String result) {
    acknowledged.add(job.path("custom").path("client_jid").asText());
  }
}
