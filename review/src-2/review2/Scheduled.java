package review2;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import loomreel.standin.FaktoryClient;

/**
 * Jobs of two queues are scheduled for the same time. Between the pushes for the first queue and
 * those for the second one, the daemon is restarted without the first queue, and afterwards with it
 * again. All of them have to be run when their time has come.
 */
final class Scheduled {
  private static final int JOBS = 20;
  private static final int DUE_AFTER_S = 14;

  /** How long after their time the jobs are awaited. */
  private static final int LATE_S = 20;

  private final Set<String> acknowledged = ConcurrentHashMap.newKeySet();

  public static void main(String[] arguments) throws Exception {
    Kit.run(new Scheduled()::isRuleBroken);
  }

  private boolean isRuleBroken(Kit kit) throws Exception {
    int listen = Kit.freePort();
    int faktory = Kit.freePort();
    Path settings = kit.temp.resolve("office.cue");
    String command = Kit.runCommand("daemon " + settings);
    Instant due = Instant.now().plusSeconds(DUE_AFTER_S);
    List<String> jids = new ArrayList<>();

    write(settings, listen, faktory, true);
    Process daemon = kit.start(command, Map.of(), "daemon.log");
    push(kit, faktory, "renewals", due, jids);
    stop(kit, daemon);

    write(settings, listen, faktory, !Kit.hasTrouble());
    kit.note("started with the queue renewals: " + !Kit.hasTrouble());
    daemon = kit.start(command, Map.of(), "daemon.log");
    push(kit, faktory, "copies", due, jids);
    stop(kit, daemon);

    write(settings, listen, faktory, true);
    kit.note("started with the queue renewals: true");
    kit.start(command, Map.of(), "daemon.log");
    try (FaktoryClient client = connect(faktory)) {
      noteStates(kit, client, jids, "after the last start");
      if (Instant.now().isAfter(due)) {
        throw new IOException("the restarts took too long");
      }
      PullWorker worker =
          new PullWorker("w0", faktory, 4, "renewals copies", this::work, this::acked);
      while (Instant.now().isBefore(due.plusSeconds(LATE_S))) {
        Kit.pause(5_000);
        kit.note("acknowledged=" + acknowledged.size());
        if (acknowledged.size() == jids.size()) {
          break;
        }
      }
      worker.close();
      noteStates(kit, client, jids, LATE_S + " s after their time at the latest");
    }
    kit.noteLog("daemon.log", 8);
    long neverRun = jids.stream().filter(jid -> !acknowledged.contains(jid)).count();
    kit.note("accepted=" + jids.size() + " never_run=" + neverRun);
    return neverRun > 0;
  }

  private static void push(
      Kit kit, int faktory, String queue, Instant due, List<String> jids) throws IOException {
    try (FaktoryClient client = connect(faktory)) {
      for (int i = 0; i < JOBS; i++) {
        String jid = queue + "-" + String.format("%04d", i);
        client.callExpectingOk(
            "PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"Renew\",\"queue\":\"" + queue + "\",\"at\":\""
                + due + "\",\"args\":[\"" + jid + "\"]}");
        jids.add(jid);
      }
      kit.note(JOBS + " jobs of the queue " + queue + ", due at " + due + ", were answered OK");
    }
  }

  private static void stop(Kit kit, Process daemon) throws InterruptedException {
    Kit.terminate(daemon.pid());
    daemon.waitFor();
    kit.note("SIGTERM; the daemon has ended with " + daemon.exitValue());
  }

  private static void noteStates(Kit kit, FaktoryClient client, List<String> jids, String when)
      throws IOException {
    Map<String, Integer> states = new TreeMap<>();
    for (String jid : jids) {
      String state = Kit.json(client.call("TRACK GET " + jid)).path("state").asText();
      states.merge(jid.split("-")[0] + " " + state, 1, Integer::sum);
    }
    kit.note(when + ": " + states);
  }

  private static void write(Path file, int listen, int faktory, boolean hasRenewals)
      throws IOException {
    Files.writeString(
        file,
        String.join(
            "\n",
            "name: \"office\"",
            "listen: http: \"127.0.0.1:" + listen + "\"",
            "classes: {",
            "  copy: {repeat: \"free\", target: \"1s\", deadline: \"5s\"}",
            "  issue: {repeat: \"single_shot\", target: \"1s\", deadline: \"5s\"}",
            "}",
            "faktory: {",
            "  listen: \"127.0.0.1:" + faktory + "\"",
            "  queues: copies: class: \"copy\"",
            hasRenewals ? "  queues: renewals: class: \"copy\"" : "",
            "  spool: \"" + file.resolveSibling("spool") + "\"",
            "}",
            ""));
  }

  private static FaktoryClient connect(int port) throws IOException {
    for (int i = 0; ; i++) {
      try {
        return new FaktoryClient(Kit.loopback(port));
      } catch (IOException e) {
        if (i == 200) {
          throw e;
        }
        Kit.pause(50);
      }
    }
  }

  private String work(PullWorker worker, FaktoryClient link, JsonNode job) {
    return "renewed";
  }

  private void acked(JsonNode job, String result) {
    acknowledged.add(job.path("custom").path("client_jid").asText());
  }
}
