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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loomreel.standin.FaktoryClient;

/**
 * HTTP clients hand in jobs of a guarded class, each with an idempotency key; Faktory workers run
 * them. All workers are one group, which drops a repeat for 7.5 s: a job whose idempotency key, in
 * whatever field, or whose jid it has seen. The dispatcher is killed while a worker runs a job, and
 * the client repeats the request with the same key, once, within the window.
 */
final class KeyLost {
  private static final int JOBS = 24;
  private static final int KILL_EVERY = 8;
  private static final long WORK_MS = 100;
  private static final long CLIENT_BACKOFF_MS = 50;
  private static final long WINDOW_MS = 7_500;
  private static final String KEY_PREFIX = "5c0f6e1a2b3d4c59a8b7";

  /** When the group has first seen a jid or a key. */
  private final Map<String, Long> seen = new ConcurrentHashMap<>();

  /** How often each job has had its effect, by body. */
  private final Map<String, AtomicInteger> effects = new ConcurrentHashMap<>();

  private final Map<String, CountDownLatch> awaited = new ConcurrentHashMap<>();
  private final Set<String> again = ConcurrentHashMap.newKeySet();
  private Kit kit;
  private final int[] listen = new int[2];
  private final int[] faktory = new int[2];
  private final Process[] dispatchers = new Process[2];
  private Discovery discovery;

  public static void main(String[] arguments) throws Exception {
    Kit.run(new KeyLost()::isRuleBroken);
  }

  private boolean isRuleBroken(Kit theKit) throws Exception {
    kit = theKit;
    discovery = new Discovery();
    List<PullWorker> workers = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      listen[i] = Kit.freePort();
      faktory[i] = Kit.freePort();
      start(i);
    }
    for (int i = 0; i < 2; i++) {
      Kit.awaitOk(listen[i], "/health/ready", 20_000);
      for (int k = 0; k < 2; k++) {
        String wid = "w" + k + "-of-n" + i;
        workers.add(new PullWorker(wid, faktory[i], 4, "hold", this::work, (job, result) -> {}));
      }
    }
    Kit.pause(1500);
    Map<String, Integer> outcomes = new TreeMap<>();
    for (int i = 0; i < JOBS; i++) {
      boolean isKilled = Kit.hasTrouble() && i % KILL_EVERY == KILL_EVERY - 1;
      outcomes.merge(handIn("hold-" + i, KEY_PREFIX + String.format("%012x", i), isKilled), 1, Integer::sum);
      Kit.pause(60);
    }
    Kit.pause(1000);
    int twice = 0;
    for (Map.Entry<String, AtomicInteger> effect : effects.entrySet()) {
      if (effect.getValue().get() > 1) {
        twice++;
        kit.note("applied " + effect.getValue() + " times: " + effect.getKey());
      }
    }
    kit.note(
        "jobs=" + JOBS + " repeated_by_clients=" + again.size() + " outcomes=" + outcomes
            + " applied_more_than_once=" + twice);
    workers.forEach(PullWorker::close);
    return twice > 0;
  }

  private void start(int i) throws IOException {
    Path config = kit.temp.resolve("c" + i + ".json");
    Deployment.fukuokaBooking("all").name("n" + i).dispatchers(2).write(config, listen[i], discovery);
    Path settings = kit.temp.resolve("faktory" + i + ".cue");
    Files.writeString(
        settings,
        "faktory: {listen: \"127.0.0.1:"
            + faktory[i]
            + "\", queues: {hold: class: \"slot-hold\"}, spool: \""
            + kit.temp.resolve("spool" + i)
            + "\"}\n");
    Path folder = Files.createDirectories(kit.temp.resolve("tmp" + i));
    dispatchers[i] =
        kit.start(
            Kit.runCommand() + " --settings " + settings,
            Map.of("BALANCER_CONFIG", config.toString(), "TMPDIR", folder.toString()),
            "n" + i + ".log");
  }

  /** Hands a job in at n0; if n0 is killed, once more at n1. */
  private String handIn(String body, String key, boolean isKilled) throws Exception {
    CountDownLatch running = new CountDownLatch(1);
    awaited.put(body, running);
    if (!isKilled) {
      return submit(0, key, body, 5_000, false);
    }
    long start = kit.now();
    Thread killer =
        new Thread(
            () -> {
              try {
                running.await(5, TimeUnit.SECONDS);
                dispatchers[0].destroyForcibly();
                kit.note("SIGKILL to n0 while a worker runs " + body);
              } catch (InterruptedException e) {
                kit.note("not killed: " + e);
              }
            });
    killer.start();
    String outcome = submit(0, key, body, 5_000, false);
    killer.join();
    if (!outcome.equals("200")) {
      Kit.pause(CLIENT_BACKOFF_MS);
      again.add(body);
      outcome = submit(1, key, body, 5_000 - (kit.now() - start), true);
      kit.note("the repeat was answered " + (kit.now() - start) + " ms after the first request");
    }
    dispatchers[0].waitFor();
    start(0);
    Kit.awaitOk(listen[0], "/health/ready", 20_000);
    Kit.pause(1_500);
    return outcome;
  }

  private String submit(int dispatcher, String key, String body, long budget, boolean isAgain) {
    Map<String, String> headers = new TreeMap<>();
    headers.put("X-Call-Id", Kit.newId());
    headers.put("X-Caller", "hakata-travel");
    headers.put("X-Budget-Ms", Long.toString(budget));
    headers.put("Idempotency-Key", key);
    if (isAgain) {
      headers.put("X-Again", "1");
    }
    String outcome;
    try {
      outcome =
          Integer.toString(Kit.http(listen[dispatcher], "POST", "/slot-hold", headers, body).status());
    } catch (IOException e) {
      outcome = "connection lost";
    }
    kit.note(
        "client at n" + dispatcher + ": " + body + " key=" + key + " call=" + headers.get("X-Call-Id")
            + (isAgain ? " again" : "") + " -> " + outcome);
    return outcome;
  }

  private String work(PullWorker worker, FaktoryClient link, JsonNode job) {
    String body = job.path("args").path(0).path("body").asText();
    boolean isRepeat = isRepeat(job);
    if (!isRepeat) {
      effects.computeIfAbsent(body, absent -> new AtomicInteger()).incrementAndGet();
    }
    kit.note(worker.wid + (isRepeat ? " drops a repeat: " : " applies: ") + job);
    awaited.get(body).countDown();
    Kit.pause(WORK_MS);
    return "held " + body;
  }

  /** Whether the group has seen the job's jid, or its idempotency key in whatever field. */
  private boolean isRepeat(JsonNode job) {
    boolean isRepeat = isSeen("jid " + job.path("jid").asText());
    String text = job.toString();
    int at = text.indexOf(KEY_PREFIX);
    return at < 0 ? isRepeat : isSeen("key " + text.substring(at, at + 32)) || isRepeat;
  }

  private boolean isSeen(String what) {
    Long first = seen.putIfAbsent(what, kit.now());
    return first != null && kit.now() - first < WINDOW_MS;
  }
}
