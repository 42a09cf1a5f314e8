import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The copy worker of a small office hangs, is killed and started again. With trouble; without, it
 * stays well.
 */
final class Case3 {
  private static final double WATCHED_SECONDS = 30;
  private static final double CHECK_SECONDS = 5;
  private static final double SLACK_SECONDS = 10;

  private final Run run;
  private final Daemon daemon;
  private final int port = Faktory.freePort();
  private final Path requests;
  private final List<String> accepted = new ArrayList<>();

  private Case3(Run run) throws IOException {
    this.run = run;
    daemon = new Daemon(run, "workers: \"w-1\": {address: \"127.0.0.1:" + port + "\"}");
    requests = run.temporary.resolve("requests");
  }

  public static void main(String[] arguments) {
    Run.main(run -> new Case3(run).holds());
  }

  private boolean holds() throws Exception {
    Run.Program worker = startWorker();
    daemon.start(Daemon.BOTH_QUEUES);
    push("copy-000001", "copies");
    push("issue-00001", "issues");
    Run.require(20, "the first jobs are done", () -> isDone("copy-000001") && isDone("issue-00001"));
    run.log("the worker has run the first jobs");

    if (run.trouble) {
      signal("STOP", worker);
      for (int i = 2; !daemon.program.hasLogged("worker ejected"); i++) {
        if (i > 60) {
          throw new IllegalStateException("the worker is not ejected");
        }
        push(String.format("copy-%06d", i), "copies");
        Run.await(1, () -> daemon.program.hasLogged("worker ejected"));
      }
      run.log("the daemon has ejected the worker: " + daemon.program.logged("worker ejected"));
      if (System.getenv("BETWEEN_CHECKS") == null) {
        Run.require(20, "a check is under way", this::isRequestUnread);
      } else {
        // To compare: the worker is killed while no check is under way.
        Run.require(20, "no check is under way", () -> !isRequestUnread());
      }
      signal("KILL", worker);
      worker.process.onExit().join();
      Thread.sleep(1000);
      worker = startWorker();
    }
    double wellAt = run.seconds();
    long wellAtMillis = System.currentTimeMillis();
    run.log("the worker is well; pushing a job of each class");
    push("copy-000999", "copies");
    push("issue-00999", "issues");
    Run.await(
        WATCHED_SECONDS,
        () -> accepted.stream().allMatch(this::ran) && firstRequestAfter(wellAtMillis) > 0);
    long first = firstRequestAfter(wellAtMillis);
    run.log(
        first == 0
            ? String.format(
                "in %.1f s the daemon has sent nothing to the worker", run.seconds() - wellAt)
            : String.format(
                "the daemon's first request came %.1f s later", (first - wellAtMillis) / 1000.0));
    try (Faktory client = daemon.client()) {
      for (String jid : accepted) {
        run.log((ran(jid) ? "run:     " : "NOT RUN: ") + client.call("TRACK GET " + jid));
      }
    }
    boolean isChecked = first > 0 && first - wellAtMillis < 1000 * (CHECK_SECONDS + SLACK_SECONDS);
    // Broken only if no check came and accepted jobs wait for it: a late run is no fault.
    return isChecked || accepted.stream().allMatch(this::ran);
  }

  private boolean isDone(String jid) {
    try (Faktory client = daemon.client()) {
      return "success".equals(Faktory.field(client.call("TRACK GET " + jid), "state"));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private Run.Program startWorker() throws Exception {
    Run.Program worker =
        run.start(
            "worker",
            "exec java -Xmx48m -cp "
                + Path.of("../classes").toAbsolutePath().normalize()
                + " WorkerMain "
                + port
                + " w-1 127.0.0.1:"
                + daemon.httpPort()
                + " "
                + requests,
            Map.of(),
            false);
    Run.require(20, "the worker listens", () -> worker.hasLogged("listening"));
    return worker;
  }

  private void signal(String name, Run.Program program) throws Exception {
    run.log("SIG" + name + " to " + program.name + " pid=" + program.process.pid());
    new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + program.process.pid())
        .inheritIO()
        .start()
        .waitFor();
  }

  private void push(String jid, String queue) throws Exception {
    try (Faktory client = daemon.client()) {
      String reply =
          client.call(
              "PUSH {\"jid\":\""
                  + jid
                  + "\",\"jobtype\":\"Job\",\"queue\":\""
                  + queue
                  + "\",\"args\":[1]}");
      run.log("client PUSH " + jid + ": " + reply);
      if ("OK".equals(reply)) {
        accepted.add(jid);
      }
    }
  }

  private List<String> requestLines() {
    try {
      return Files.exists(requests) ? Files.readAllLines(requests) : List.of();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean ran(String jid) {
    return requestLines().stream().anyMatch(line -> line.endsWith("?jid=" + jid));
  }

  private long firstRequestAfter(long millis) {
    return requestLines().stream()
        .mapToLong(line -> Long.parseLong(line.split(" ")[0]))
        .filter(at -> at >= millis)
        .findFirst()
        .orElse(0);
  }

  /** Whether a connection to the worker's port is open and has a request that is not read. */
  private boolean isRequestUnread() {
    try {
      String local = String.format("0100007F:%04X", port);
      for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
        for (String line : Files.readAllLines(Path.of(table))) {
          String[] fields = line.trim().split("\\s+");
          boolean isOpen = fields.length > 4 && fields[3].equals("01");
          boolean isWorkers =
              isOpen && (fields[1].equals(local) || fields[1].endsWith(local));
          if (isWorkers && !fields[4].endsWith(":00000000")) {
            return true;
          }
        }
      }
      return false;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
