package loomreel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker that fetches jobs over Faktory, with one connection for each slot and one for
 * heartbeats. It reconnects until it is closed.
 */
public final class FaktoryWorker implements AutoCloseable {
  private static final long HEARTBEAT_INTERVAL_MS = 500;

  /** The delay of the heartbeat that reports the quiet state. */
  private static final long UNREPORTED_STATE_DELAY_MS = 1;

  private static final long RECONNECT_DELAY_MS = 100;

  private final String wid;
  private final InetSocketAddress server;
  private final String password;
  private final String queues;
  private final int slots;
  private final ExecutionLog executions;
  private final long workMs;
  private final List<FaktoryClient> links = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger jobsServed = new AtomicInteger();
  private final AtomicInteger jobsAfterQuiet = new AtomicInteger();
  private volatile boolean stopped;
  private volatile boolean quiet;

  /** When the server acknowledged the quiet state; jobs fetched after it are counted. */
  private volatile long quietSince = Long.MAX_VALUE;

  /**
   * Starts the worker.
   *
   * @param workMs how long a job takes
   */
  public FaktoryWorker(
      String wid,
      InetSocketAddress server,
      String password,
      int slots,
      long workMs,
      ExecutionLog executions,
      String... queues) {
    this.wid = wid;
    this.server = server;
    this.password = password;
    this.slots = slots;
    this.workMs = workMs;
    this.executions = executions;
    this.queues = String.join(" ", queues);
    for (int i = 0; i < slots; i++) {
      start(this::fetchJobs);
    }
    start(this::sendHeartbeats);
  }

  private interface Loop {
    void run(FaktoryClient link) throws IOException, InterruptedException;
  }

  private void start(Loop loop) {
    Thread thread =
        new Thread(
            () -> {
              while (!stopped) {
                try (FaktoryClient link =
                    new FaktoryClient(server, password, wid, "slots=" + slots)) {
                  links.add(link);
                  if (!stopped) {
                    loop.run(link);
                  }
                } catch (IOException e) {
                  // The server is unreachable or closed the connection.
                  pause(RECONNECT_DELAY_MS);
                } catch (InterruptedException e) {
                  return;
                }
              }
            },
            wid);
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  private static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void fetchJobs(FaktoryClient link) throws IOException, InterruptedException {
    while (!stopped) {
      long fetchedNanos = System.nanoTime();
      Object answer = link.call("FETCH " + queues);
      if (answer instanceof String text) {
        if (fetchedNanos > quietSince) {
          jobsAfterQuiet.incrementAndGet();
        }
        JsonNode job = FaktoryClient.JSON.readTree(text);
        String serial = serial(job);
        executions.recordStart(serial);
        Thread.sleep(workMs);
        link.callExpectingOk(
            "ACK "
                + FaktoryClient.JSON
                    .createObjectNode()
                    .put("jid", job.path("jid").asText())
                    .put("result", "made " + serial));
        jobsServed.incrementAndGet();
      } else if (answer instanceof RespReader.ErrorReply failure) {
        throw new IOException(failure.message());
      }
    }
  }

  private void sendHeartbeats(FaktoryClient link) throws IOException, InterruptedException {
    while (!stopped) {
      boolean isQuietReported = quiet;
      link.call(
          "BEAT {\"wid\":\""
              + wid
              + "\""
              + (isQuietReported ? ",\"current_state\":\"quiet\"" : "")
              + "}");
      if (isQuietReported && quietSince == Long.MAX_VALUE) {
        quietSince = System.nanoTime();
      }
      Thread.sleep(quiet && !isQuietReported ? UNREPORTED_STATE_DELAY_MS : HEARTBEAT_INTERVAL_MS);
    }
  }

  /** A job's serial number, for the jobs of both kinds of clients. */
  public static String serial(JsonNode job) {
    JsonNode first = job.path("args").path(0);
    return first.isObject() ? first.path("body").asText() : first.asText();
  }

  /** Reports the worker as quiet, and continues to fetch: the server must send no job. */
  public void quiet() {
    quiet = true;
    threads.get(threads.size() - 1).interrupt();
    start(this::sendHeartbeats);
  }

  /** Whether the server has acknowledged the quiet state. */
  public boolean isQuiet() {
    return quietSince != Long.MAX_VALUE;
  }

  /** How many jobs were sent on a FETCH that was sent after the quiet state was acknowledged. */
  public int jobsAfterQuiet() {
    return jobsAfterQuiet.get();
  }

  /** How many jobs the worker has completed. */
  public int jobsServed() {
    return jobsServed.get();
  }

  /** Ends the worker like a crash: connections close, jobs stay unfinished. */
  @Override
  public void close() {
    stopped = true;
    for (FaktoryClient link : links) {
      try {
        link.close();
      } catch (IOException e) {
        // The connection is closed either way.
      }
    }
    threads.forEach(Thread::interrupt);
  }
}
