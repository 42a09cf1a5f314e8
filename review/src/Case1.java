/**
 * A job of the class issue (single_shot) is pushed and run. Its client pushes the same jid again,
 * within the time that the dispatcher remembers it, and after a restart of the dispatcher.
 */
final class Case1 {
  private static final String JID = "issue-2026-000417";
  private static final int FILLERS = 330;

  private Case1() {}

  public static void main(String[] arguments) {
    Run.main(Case1::holds);
  }

  private static boolean holds(Run run) throws Exception {
    Daemon daemon = new Daemon(run);
    daemon.start(Daemon.BOTH_QUEUES);
    FaktoryWorker first = new FaktoryWorker(run, daemon.port(), "w1", "issues copies", jid -> true);
    FaktoryWorker second =
        new FaktoryWorker(run, daemon.port(), "w2", "issues copies", jid -> true);
    String push =
        "PUSH {\"jid\":\"" + JID + "\",\"jobtype\":\"Issue\",\"queue\":\"issues\",\"args\":[417]}";
    Faktory client = daemon.client();
    double pushedAt = run.seconds();
    String reply = client.call(push);
    run.log("client PUSH " + JID + ": " + reply);
    if (!"OK".equals(reply)) {
      throw new IllegalStateException("the job is not accepted");
    }
    Run.require(20, "the job has run", () -> first.runsOf(JID) + second.runsOf(JID) == 1);
    Thread.sleep(300);
    run.log("client TRACK GET: " + client.call("TRACK GET " + JID));
    run.log("client PUSH " + JID + " again: " + client.call(push));

    // The ordinary work of some minutes, so that the spool has more than one segment (16 MiB).
    String filler = "x".repeat(58_000);
    for (int i = 0; i < FILLERS; i++) {
      String jid = String.format("filler-%06d", i);
      String answer =
          client.call(
              "PUSH {\"jid\":\""
                  + jid
                  + "\",\"jobtype\":\"Copy\",\"queue\":\"copies\",\"args\":[\""
                  + filler
                  + "\"]}");
      if (!"OK".equals(answer)) {
        throw new IllegalStateException(jid + ": " + answer);
      }
    }
    Run.require(50, "the other jobs ran", () -> first.runCount() + second.runCount() > FILLERS);
    run.log(FILLERS + " other jobs of 58 kB were pushed and run");
    Thread.sleep(1500);

    if (run.trouble) {
      client.close();
      daemon.stop();
      daemon.start(Daemon.BOTH_QUEUES);
      client = daemon.client();
    }
    String again = client.call(push);
    run.log(
        String.format(
            "client PUSH %s again, %.1f s after the first, remembered for 600 s: %s",
            JID, run.seconds() - pushedAt, again));
    Thread.sleep(4000);
    int runs = first.runsOf(JID) + second.runsOf(JID);
    run.log(JID + " was run " + runs + " times");
    return runs == 1 && again != null && again.startsWith("ERR");
  }
}
