import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * A Faktory worker with one slot: it fetches a job, runs it, reports ACK or FAIL, and fetches the
 * next. A second connection sends BEAT every 5 s. It connects again when a connection breaks.
 */
final class FaktoryWorker {
  private final Run run;
  private final int port;
  private final String wid;
  private final String queues;
  private final Predicate<String> succeeds;

  /** The jids, as the clients gave them, of the jobs that were run, one entry for each run. */
  private final List<String> runs = new ArrayList<>();

  /**
   * Starts the worker.
   *
   * @param succeeds by the client's jid: whether the worker reports ACK, and not FAIL
   */
  FaktoryWorker(Run run, int port, String wid, String queues, Predicate<String> succeeds) {
    this.run = run;
    this.port = port;
    this.wid = wid;
    this.queues = queues;
    this.succeeds = succeeds;
    start(this::work);
    start(this::beat);
  }

  private interface Loop {
    void run(Faktory link) throws IOException, InterruptedException;
  }

  private void start(Loop loop) {
    Thread thread =
        new Thread(
            () -> {
              while (true) {
                try (Faktory link = new Faktory(port, wid)) {
                  loop.run(link);
                } catch (IOException e) {
                  // The dispatcher is down, or has closed the connection.
                } catch (InterruptedException e) {
                  return;
                }
                try {
                  Thread.sleep(100);
                } catch (InterruptedException e) {
                  return;
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void work(Faktory link) throws IOException, InterruptedException {
    while (true) {
      String job = link.call("FETCH " + queues);
      if (job == null) {
        continue;
      }
      if (job.startsWith("ERR")) {
        throw new IOException(job);
      }
      String jid = Faktory.field(job, "client_jid");
      String attempt = attemptId(job);
      synchronized (runs) {
        runs.add(jid);
      }
      Thread.sleep(2);
      String report =
          succeeds.test(jid)
              ? "ACK {\"jid\":\"" + attempt + "\",\"result\":\"made " + jid + "\"}"
              : "FAIL {\"jid\":\""
                  + attempt
                  + "\",\"errtype\":\"Broken\",\"message\":\"no such record\"}";
      String reply = link.call(report);
      if (!jid.startsWith("filler")) {
        run.log(wid + " ran " + jid + " as " + attempt + ": " + report.split(" ")[0] + " " + reply);
      }
    }
  }

  /** The job's own jid is the last field of that name: args and custom may have others. */
  private static String attemptId(String job) {
    String id = "";
    java.util.regex.Matcher field =
        java.util.regex.Pattern.compile("\"jid\":\"([0-9a-f]{16})\"").matcher(job);
    while (field.find()) {
      id = field.group(1);
    }
    return id;
  }

  private void beat(Faktory link) throws IOException, InterruptedException {
    while (true) {
      link.call("BEAT {\"wid\":\"" + wid + "\"}");
      Thread.sleep(5000);
    }
  }

  /** How often a job was run. */
  int runsOf(String jid) {
    synchronized (runs) {
      return (int) runs.stream().filter(jid::equals).count();
    }
  }

  /** How many jobs were run. */
  int runCount() {
    synchronized (runs) {
      return runs.size();
    }
  }
}
