import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * No case: operators change overrides at the old and the new process of an upgrade, also while the
 * new one starts; 0.2 s after the last change, both processes and the stored file have to agree.
 * Counts also how often the file, read right behind the last answer, differs from what both have in
 * the end.
 */
final class SoakOverrides {
  private static final int UPGRADES = 3;
  private static final int ROUNDS = 80;

  private SoakOverrides() {}

  public static void main(String[] arguments) {
    long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
    Run.main(run -> holds(run, seed));
  }

  private static boolean holds(Run run, long seed) throws Exception {
    Random random = new Random(seed);
    Platform platform = new Platform(run, 3);
    Platform.Dispatcher old = platform.start();
    Run.require(30, "ready", old::isReady);
    int disagreements = 0;
    int stale = 0;
    for (int upgrade = 0; upgrade < UPGRADES; upgrade++) {
      // Changes at the old process during the whole start, and at the new one as soon as it answers.
      Platform.Dispatcher before = old;
      Platform.Dispatcher next = platform.start();
      AtomicBoolean starting = new AtomicBoolean(true);
      List<Thread> early = new ArrayList<>();
      for (Platform.Dispatcher dispatcher : List.of(before, next)) {
        Random own = new Random(random.nextLong());
        Thread thread =
            new Thread(
                () -> {
                  while (starting.get()) {
                    try {
                      Platform.post(
                          dispatcher.operators,
                          "/ops/copy-workers/" + (own.nextBoolean() ? "down" : "up"),
                          "s-" + (1 + own.nextInt(3)));
                    } catch (IOException e) {
                      // It does not listen yet.
                    }
                    try {
                      Thread.sleep(own.nextInt(8));
                    } catch (InterruptedException e) {
                      return;
                    }
                  }
                });
        thread.start();
        early.add(thread);
      }
      if (random.nextBoolean()) {
        Run.require(30, "ready", next::isReady);
      } else {
        Run.require(30, "listens", () -> next.program.hasLogged("listening for clients"));
        Thread.sleep(random.nextInt(60));
      }
      starting.set(false);
      for (Thread thread : early) {
        thread.join();
      }
      Run.require(30, "ready", next::isReady);
      List<Platform.Dispatcher> both = List.of(old, next);
      for (int round = 0; round < ROUNDS; round++) {
        // One change after the other, each at either process, as UpgradeSoakTest makes them.
        for (int i = random.nextInt(6); i >= 0; i--) {
          change(
              both.get(random.nextInt(2)),
              List.of((random.nextBoolean() ? "down" : "up") + " s-" + (1 + random.nextInt(2))));
        }
        long storedAtOnce = stored(run);
        Thread.sleep(200);
        int first = disabled(old);
        int second = disabled(next);
        stale += storedAtOnce != first ? 1 : 0;
        if (first != second || first != stored(run)) {
          disagreements++;
          run.log("old=" + first + " new=" + second + " file=" + stored(run) + " round " + round);
        }
      }
      old.program.terminate(6);
      old = next;
    }
    run.log("the file as read at once differs from the end: " + stale);
    run.log(disagreements + " disagreements in " + UPGRADES * ROUNDS + " rounds, seed " + seed);
    return disagreements == 0;
  }

  private static long stored(Run run) throws IOException {
    return Files.readString(run.temporary.resolve("state").resolve("n1.state")).lines().count();
  }

  private static void change(Platform.Dispatcher dispatcher, List<String> changes) {
    for (String change : changes) {
      String[] parts = change.split(" ");
      try {
        Platform.post(dispatcher.operators, "/ops/copy-workers/" + parts[0], parts[1]);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private static int disabled(Platform.Dispatcher dispatcher) throws IOException {
    HttpURLConnection call =
        (HttpURLConnection) new URL("http://" + dispatcher.operators + "/ops/stats").openConnection();
    call.setReadTimeout(2000);
    String stats = new String(call.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    Matcher down = Pattern.compile("\"hosts_down\":(\\d+)").matcher(stats);
    if (!down.find()) {
      throw new IOException(stats);
    }
    return Integer.parseInt(down.group(1));
  }
}
