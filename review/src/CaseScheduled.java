import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Two jobs are scheduled for the same time, in two queues. The dispatcher is restarted with a
 * change of its settings in between, which is taken back by another restart.
 */
final class CaseScheduled {
  private static final String ISSUE = "issue-2026-000501";
  private static final String COPY = "copy-2026-000502";
  private static final int DELAY_SECONDS = 22;
  private static final int WATCHED_SECONDS = 30;

  private CaseScheduled() {}

  public static void main(String[] arguments) {
    Run.main(CaseScheduled::holds);
  }

  private static boolean holds(Run run) throws Exception {
    Instant at = Instant.now().plusSeconds(DELAY_SECONDS).truncatedTo(ChronoUnit.SECONDS);
    Daemon daemon = new Daemon(run);
    daemon.start(Daemon.BOTH_QUEUES);
    FaktoryWorker worker =
        new FaktoryWorker(run, daemon.port(), "w1", "issues copies", jid -> true);
    push(run, daemon, ISSUE, "issues", at);
    daemon.stop();
    // The queue is taken out of the settings: its job stays in the spool.
    daemon.start(run.trouble ? Daemon.COPIES_ONLY : Daemon.BOTH_QUEUES);
    push(run, daemon, COPY, "copies", at);
    daemon.stop();
    daemon.start(Daemon.BOTH_QUEUES);
    track(run, daemon);
    double left = (at.toEpochMilli() - System.currentTimeMillis()) / 1000.0;
    run.log(String.format("both jobs are due in %.1f s", left));
    if (left < 0.5) {
      throw new IllegalStateException("the restarts took too long");
    }
    Run.await(left + WATCHED_SECONDS, () -> worker.runsOf(ISSUE) > 0 && worker.runsOf(COPY) > 0);
    Thread.sleep(500);
    track(run, daemon);
    run.log(ISSUE + " was run " + worker.runsOf(ISSUE) + " times");
    run.log(COPY + " was run " + worker.runsOf(COPY) + " times");
    return worker.runsOf(ISSUE) == 1 && worker.runsOf(COPY) == 1;
  }

  private static void push(Run run, Daemon daemon, String jid, String queue, Instant at)
      throws Exception {
    try (Faktory client = daemon.client()) {
      String reply =
          client.call(
              "PUSH {\"jid\":\""
                  + jid
                  + "\",\"jobtype\":\"Job\",\"queue\":\""
                  + queue
                  + "\",\"args\":[1],\"at\":\""
                  + at
                  + "\"}");
      run.log("client PUSH " + jid + " to " + queue + " for " + at + ": " + reply);
      if (!"OK".equals(reply)) {
        throw new IllegalStateException("the job is not accepted");
      }
    }
  }

  private static void track(Run run, Daemon daemon) throws Exception {
    try (Faktory client = daemon.client()) {
      run.log("client TRACK GET: " + client.call("TRACK GET " + ISSUE));
      run.log("client TRACK GET: " + client.call("TRACK GET " + COPY));
    }
  }
}
