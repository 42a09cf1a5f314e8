import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An upgrade: a new process of the dispatcher starts beside the old one and takes over. With
 * trouble, an earlier new process was killed before it said that it is ready.
 */
final class Case2 {
  private static final int CLIENTS = 6;
  private static final double GRACE_SECONDS = 3;
  private static final double SLACK_SECONDS = 0.25;

  private Case2() {}

  public static void main(String[] arguments) {
    Run.main(Case2::holds);
  }

  private static boolean holds(Run run) throws Exception {
    Platform platform = new Platform(run, 3);
    Platform.Dispatcher old = platform.start();
    Run.require(30, "the old process is ready", old::isReady);
    run.log("the old process is ready");

    List<Client.Job> jobs = Collections.synchronizedList(new ArrayList<>());
    AtomicBoolean stopped = new AtomicBoolean();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Client client = new Client(run, platform.port(), jobs);
      int[] millis = {150, 900, 300, 2400, 150, 600};
      int first = i;
      Thread thread =
          new Thread(
              () -> {
                for (int n = first; !stopped.get(); n++) {
                  client.send("issue", millis[n % millis.length]);
                  try {
                    Thread.sleep(200);
                  } catch (InterruptedException e) {
                    return;
                  }
                }
                client.close();
              });
      thread.start();
      threads.add(thread);
    }
    Thread.sleep(3000);

    if (run.trouble) {
      if (System.getenv("ENDS_BY_ITSELF") == null) {
        Platform.Dispatcher failed = platform.start();
        Run.require(
            30, "the process listens", () -> failed.program.hasLogged("listening for clients"));
        failed.program.kill();
        run.log("SIGKILL to " + failed.program.name + ", which had not said that it is ready");
      } else {
        // To compare: nobody kills it, but its operators' address is that of the old process.
        Platform.Dispatcher failed = platform.start(old.operators);
        Run.require(30, "the process ends", () -> !failed.program.process.isAlive());
        run.log(failed.program.name + " has ended, exit " + failed.program.process.exitValue());
      }
      Thread.sleep(2000);
    }

    Platform.Dispatcher next = platform.start();
    Run.require(30, "the new process is ready", next::isReady);
    double readyAt = run.seconds();
    run.log(next.program.name + " is ready");
    int status = Platform.post(next.operators, "/ops/copy-workers/down", "s-1");
    double downAt = run.seconds();
    run.log("operators: POST /ops/copy-workers/down s-1 at the new process: " + status);
    if (status != 200) {
      throw new IllegalStateException("the worker is not disabled");
    }
    while (run.seconds() < readyAt + 5) {
      Thread.sleep(20);
    }
    old.program.terminate(6);
    Thread.sleep(1500);
    stopped.set(true);
    for (Thread thread : threads) {
      thread.join();
    }
    return check(run, platform, jobs, downAt);
  }

  private static boolean check(
      Run run, Platform platform, List<Client.Job> jobs, double downAt) {
    int lost = 0;
    int afterDown = 0;
    int notAnswered = 0;
    for (Client.Job job : jobs) {
      Platform.Work work = platform.work.get(job.id);
      boolean isDone =
          work != null
              && work.doneAnsweredAt > 0
              && work.doneAnsweredAt < job.answeredAt - 0.1
              && work.doneAnsweredAt < job.sentAt + Client.BUDGET_SECONDS - SLACK_SECONDS;
      boolean isServed = job.status == 200 && job.result.equals("made " + job.id);
      boolean isLost = isDone && !isServed;
      boolean isAfterDown =
          work != null
              && "s-1".equals(work.worker)
              && work.receivedAt > downAt + GRACE_SECONDS + SLACK_SECONDS;
      lost += isLost ? 1 : 0;
      afterDown += isAfterDown ? 1 : 0;
      notAnswered += job.status == 0 ? 1 : 0;
      run.log(
          String.format(
              "job %s sent=%.3f answered=%.3f status=%d%s %s%s%s",
              job.id,
              job.sentAt,
              job.answeredAt,
              job.status,
              job.sentAgain ? " sent-again" : "",
              work == null
                  ? "never at a worker"
                  : String.format(
                      "worker=%s at=%.3f copies=%d done-answered=%.3f",
                      work.worker, work.receivedAt, work.receipts.get(), work.doneAnsweredAt),
              isLost ? " RESULT LOST" : "",
              isAfterDown ? " SENT TO A DISABLED WORKER" : ""));
    }
    run.log(
        String.format(
            "%d jobs; %d whose `done` was answered 200 in time and whose client got no result;"
                + " %d sent to s-1 over %.2f s after it was disabled; %d without an answer",
            jobs.size(), lost, afterDown, GRACE_SECONDS + SLACK_SECONDS, notAnswered));
    return lost == 0 && afterDown == 0;
  }
}
