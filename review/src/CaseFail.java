/** A worker reports FAIL for a job that is to be dead at its first failure. */
final class CaseFail {
  private static final String JID = "copy-2026-000733";
  private static final int MAX_ATTEMPTS = 4;
  private static final int WATCHED_SECONDS = 75;

  private CaseFail() {}

  public static void main(String[] arguments) {
    Run.main(CaseFail::holds);
  }

  private static boolean holds(Run run) throws Exception {
    Daemon daemon = new Daemon(run);
    daemon.start(Daemon.BOTH_QUEUES);
    FaktoryWorker first =
        new FaktoryWorker(run, daemon.port(), "w1", "issues copies", jid -> !run.trouble);
    FaktoryWorker second =
        new FaktoryWorker(run, daemon.port(), "w2", "issues copies", jid -> !run.trouble);
    Thread.sleep(500);
    try (Faktory client = daemon.client()) {
      String reply =
          client.call(
              "PUSH {\"jid\":\""
                  + JID
                  + "\",\"jobtype\":\"Copy\",\"queue\":\"copies\",\"args\":[733],\"retry\":-1}");
      run.log("client PUSH " + JID + " with retry -1: " + reply);
      if (!"OK".equals(reply)) {
        throw new IllegalStateException("the job is not accepted");
      }
      String status = "";
      String state = "";
      for (int i = 0; i < WATCHED_SECONDS && !state.equals("dead") && !state.equals("success"); i++) {
        Thread.sleep(1000);
        status = client.call("TRACK GET " + JID);
        state = Faktory.field(status, "state");
      }
      run.log("client TRACK GET: " + status);
      int runs = first.runsOf(JID) + second.runsOf(JID);
      run.log(
          JID + " was run " + runs + " times; its one activation has " + MAX_ATTEMPTS + " attempts at most");
      boolean isFinal = state.equals("dead") || state.equals("success");
      return isFinal && runs <= MAX_ATTEMPTS;
    }
  }
}
