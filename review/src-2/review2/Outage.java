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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.standin.FaktoryClient;

/**
 * Faktory clients push the usual number of jobs a second while the zone of all Faktory workers is
 * lost for 18 s. The backlog stays far below its bounds. The dispatcher has to go on, and each job
 * that was answered OK has to be done once the workers are back.
 */
final class Outage {
  private static final int JOBS_PER_SECOND = 60;
  private static final int ARGUMENT_BYTES = 40_000;
  private static final long BEFORE_MS = 5_000;
  private static final long OUTAGE_MS = 18_000;
  private static final long AFTER_MS = 5_000;
  private static final long SETTLE_MS = 30_000;
  private static final int MAX_STARTS = 4;
  private static final long WORK_MS = 20;
  private static final int SLOTS = 10;

  private final Set<String> accepted = ConcurrentHashMap.newKeySet();
  private final Set<String> done = ConcurrentHashMap.newKeySet();
  private final AtomicInteger httpServed = new AtomicInteger();
  private final AtomicInteger httpLost = new AtomicInteger();
  private volatile boolean stopped;
  private int faktory;

  public static void main(String[] arguments) throws Exception {
    Kit.run(new Outage()::isRuleBroken);
  }

  private boolean isRuleBroken(Kit kit) throws Exception {
    int listen = Kit.freePort();
    faktory = Kit.freePort();
    Discovery discovery = new Discovery();
    Path config = Deployment.arqCopies().write(kit.temp.resolve("c.json"), listen, discovery);
    Path settings = kit.temp.resolve("faktory.cue");
    Files.writeString(
        settings,
        "faktory: {listen: \"127.0.0.1:"
            + faktory
            + "\", queues: {copies: class: \"copy\"}, spool: \""
            + kit.temp.resolve("spool")
            + "\"}\n");
    Map<String, String> environment =
        Map.of("BALANCER_CONFIG", config.toString(), "TMPDIR", kit.temp.toString());
    String command = Kit.runCommand() + " --settings " + settings;
    Process dispatcher = kit.start(command, environment, "dispatcher.log");
    Kit.awaitOk(listen, "/health/ready", 20_000);
    List<PullWorker> workers = startWorkers();
    Kit.pause(1_500);
    Thread http = new Thread(() -> submitOverHttp(listen));
    http.start();
    Thread pushing = new Thread(() -> push(kit));
    pushing.start();
    Kit.pause(BEFORE_MS);
    kit.note("accepted=" + accepted.size() + " done=" + done.size());
    if (Kit.hasTrouble()) {
      kit.note("the zone of the Faktory workers is lost");
      workers.forEach(PullWorker::close);
    }
    long end = kit.now() + OUTAGE_MS;
    while (kit.now() < end && dispatcher.isAlive()) {
      Kit.pause(100);
    }
    kit.note("accepted=" + accepted.size() + " done=" + done.size());
    if (Kit.hasTrouble()) {
      kit.note("the workers are back");
      workers = startWorkers();
    }
    end = kit.now() + AFTER_MS;
    while (kit.now() < end && dispatcher.isAlive()) {
      Kit.pause(100);
    }
    stopped = true;
    pushing.join();
    http.join();
    boolean crashed = !dispatcher.isAlive();
    if (crashed) {
      kit.note("the dispatcher has crashed, exit status " + dispatcher.exitValue());
      noteErrors(kit);
    }
    int starts = 0;
    end = kit.now() + SETTLE_MS;
    while (kit.now() < end && done.size() < accepted.size() && starts < MAX_STARTS) {
      if (!dispatcher.isAlive()) {
        dispatcher = kit.start(command, environment, "dispatcher.log");
        starts++;
        kit.note("the platform starts it again");
        dispatcher.waitFor(5, TimeUnit.SECONDS);
        kit.note(
            dispatcher.isAlive()
                ? "it runs"
                : "it has crashed again, exit status " + dispatcher.exitValue());
      }
      Kit.pause(100);
    }
    workers.forEach(PullWorker::close);
    long notDone = accepted.stream().filter(jid -> !done.contains(jid)).count();
    kit.note(
        "accepted=" + accepted.size() + " payload_bytes=" + (long) accepted.size() * ARGUMENT_BYTES
            + " accepted_and_not_done=" + notDone + " http_served=" + httpServed + " http_lost="
            + httpLost);
    return crashed;
  }

  private void noteErrors(Kit kit) throws IOException {
    Files.readAllLines(kit.temp.resolve("dispatcher.log")).stream()
        .filter(line -> line.contains("OutOfMemory") || line.contains("Exception"))
        .limit(5)
        .forEach(line -> kit.note("  [dispatcher.log] " + line));
  }

  private List<PullWorker> startWorkers() {
    List<PullWorker> workers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      workers.add(
          new PullWorker(
              "w" + i + "-" + System.nanoTime(),
              faktory,
              SLOTS,
              "copies",
              this::work,
              (job, result) -> done.add(job.path("custom").path("client_jid").asText())));
    }
    return workers;
  }

  private String work(PullWorker worker, FaktoryClient link, JsonNode job) {
    Kit.pause(WORK_MS);
    return "copied";
  }

  private void push(Kit kit) {
    String argument = "r".repeat(ARGUMENT_BYTES);
    try (FaktoryClient client = new FaktoryClient(Kit.loopback(faktory))) {
      long start = System.nanoTime();
      for (int i = 0; !stopped; i++) {
        String jid = "renewal-" + i;
        Object reply =
            client.call(
                "PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"Renew\",\"queue\":\"copies\",\"args\":[\""
                    + argument + "\"]}");
        if ("OK".equals(reply)) {
          accepted.add(jid);
        } else {
          kit.note("PUSH " + jid + " was answered " + reply);
        }
        long due = start + (i + 1) * 1_000_000_000L / JOBS_PER_SECOND;
        Kit.pause(Math.max(0, (due - System.nanoTime()) / 1_000_000));
      }
    } catch (IOException e) {
      kit.note("the client that pushes has lost its connection: " + e);
    }
  }

  private void submitOverHttp(int listen) {
    while (!stopped) {
      Map<String, String> headers = new TreeMap<>();
      headers.put("X-Call-Id", Kit.newId());
      headers.put("X-Caller", "montreal-office");
      headers.put("X-Budget-Ms", "5000");
      try {
        httpServed.addAndGet(
            Kit.http(listen, "POST", "/copy", headers, "x").status() == 200 ? 1 : 0);
      } catch (IOException e) {
        httpLost.incrementAndGet();
        Kit.pause(500);
      }
      Kit.pause(50);
    }
  }
}
