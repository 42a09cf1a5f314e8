package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A hot restart after one whose new process could not open its port. The operator disables a worker
 * at the new process while both serve, and workers report to whichever process accepts.
 */
final class Upgrade {
  private static final int CLIENTS = 8;
  private static final long WORK_MS = 400;
  private static final long GRACE_MS = 3_000 + 50;

  /** Time for a request to go from the dispatcher to the record of the worker. */
  private static final long MARGIN_MS = 100;

  private static final long OVERLAP_MS = 5_500;

  private final Set<String> reported = ConcurrentHashMap.newKeySet();
  private final AtomicInteger afterDown = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger otherwise = new AtomicInteger();
  private volatile long downSince = Long.MAX_VALUE;
  private volatile boolean stopped;

  public static void main(String[] arguments) throws Exception {
    Kit.run(new Upgrade()::isRuleBroken);
  }

  private boolean isRuleBroken(Kit kit) throws Exception {
    Discovery discovery = new Discovery();
    Path config = kit.temp.resolve("c.json");
    ProcessBuilder builder =
        new ProcessBuilder("perl", Path.of("review", "src-2", "review2", "platform.pl").toString());
    builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
    builder.environment().put("BALANCER_CONFIG", config.toString());
    builder.environment().put("TMPDIR", kit.temp.toString());
    builder.redirectError(ProcessBuilder.Redirect.INHERIT);
    Process platform = builder.start();
    kit.add(platform);
    BufferedReader out =
        new BufferedReader(
            new InputStreamReader(platform.getInputStream(), StandardCharsets.UTF_8));
    PrintStream in = new PrintStream(platform.getOutputStream(), true, StandardCharsets.UTF_8);
    int listen = Integer.parseInt(out.readLine());
    PushWorker.Listener listener =
        new PushWorker.Listener() {
          @Override
          public void received(PushWorker worker, String call, String target, String body) {
            long late = kit.now() - downSince;
            if (worker.id.equals("s-1") && late > 0) {
              kit.note("s-1 gets " + call + ", " + late + " ms after it was disabled");
              if (late > GRACE_MS + MARGIN_MS) {
                afterDown.incrementAndGet();
              }
            }
          }

          @Override
          public void reported(PushWorker worker, String call) {
            reported.add(call);
          }
        };
    for (int i = 0; i < 3; i++) {
      PushWorker worker = new PushWorker("s-" + i, listen, WORK_MS, false, listener);
      discovery.add(worker.id, worker.port(), "montreal", 0);
    }
    Deployment.arqCopies().write(config, listen, discovery);

    int oldMgmt = Kit.freePort();
    long oldPid = start(kit, in, out, "old.log", oldMgmt);
    Kit.awaitOk(oldMgmt, "/ops/readiness", 20_000);
    Kit.awaitOk(listen, "/health/ready", 5_000);
    kit.note("the old process " + oldPid + " is ready");
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String requestClass = i % 2 == 0 ? "/issue" : "/copy";
      Thread client = new Thread(() -> submitAll(kit, listen, requestClass));
      clients.add(client);
      client.start();
    }
    Kit.pause(2_000);
    if (Kit.hasTrouble()) {
      try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        long failed = start(kit, in, out, "failed.log", taken.getLocalPort());
        awaitEnd(failed, 20_000);
        kit.note("the new process " + failed + " has ended: its mgmt port is in use");
        kit.noteLog("failed.log", 3);
      }
      Kit.pause(1_000);
    }
    int newMgmt = Kit.freePort();
    long newPid = start(kit, in, out, "new.log", newMgmt);
    Kit.awaitOk(newMgmt, "/ops/readiness", 20_000);
    kit.note("the new process " + newPid + " is ready");
    Kit.Answer down = Kit.http(newMgmt, "POST", "/ops/copy-workers/down", Map.of(), "s-1");
    if (down.status() != 200) {
      throw new IOException("down was answered " + down.status());
    }
    downSince = kit.now();
    kit.note("the new process has answered 200: s-1 is disabled");
    Kit.pause(OVERLAP_MS);
    kit.note("SIGTERM to the old process");
    Kit.terminate(oldPid);
    awaitEnd(oldPid, 5_700);
    kit.note("the old process has ended");
    stopped = true;
    for (Thread client : clients) {
      client.join();
    }
    kit.noteLog("old.log", 12);
    kit.noteLog("new.log", 8);
    kit.note(
        "served="
            + served
            + " reported_and_answered_200_but_not_served="
            + lost
            + " other_answers="
            + otherwise
            + " sent_to_the_disabled_worker_after_the_grace="
            + afterDown);
    return lost.get() > 0 || afterDown.get() > 0;
  }

  private static long start(Kit kit, PrintStream in, BufferedReader out, String log, int mgmt)
      throws IOException {
    in.println(kit.temp.resolve(log) + " " + mgmt + " " + Kit.runCommand());
    return Long.parseLong(out.readLine());
  }

  private static void awaitEnd(long pid, long millis) throws IOException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false)) {
      if (System.nanoTime() > end) {
        throw new IOException("process " + pid + " has not ended");
      }
      Kit.pause(20);
    }
  }

  private void submitAll(Kit kit, int listen, String path) {
    while (!stopped) {
      String id = Kit.newId();
      Map<String, String> headers = new TreeMap<>();
      headers.put("X-Call-Id", id);
      headers.put("X-Caller", "montreal-office");
      headers.put("X-Budget-Ms", "5000");
      String outcome;
      try {
        Kit.Answer answer = Kit.http(listen, "POST", path, headers, "cert-" + id, 7_000);
        outcome = Integer.toString(answer.status());
      } catch (IOException e) {
        outcome = e.toString();
      }
      if (outcome.equals("200")) {
        served.incrementAndGet();
      } else if (reported.contains(id)) {
        lost.incrementAndGet();
        kit.note(path + " " + id + ": the callback done was answered 200, the client got " + outcome);
      } else {
        otherwise.incrementAndGet();
        kit.note(path + " " + id + ": the client got " + outcome);
      }
      Kit.pause(50);
    }
  }
}
