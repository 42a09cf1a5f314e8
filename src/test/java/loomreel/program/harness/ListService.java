package loomreel.program.harness;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loomreel.standin.BackgroundThreads;

/**
 * A discovery service that takes calls from the queue of a {@link StubHttpServer}. It responds to
 * each call with the complete endpoint list that the test provides. If the call contains the
 * current version of the list, the service delays the response until the list changes or the
 * waiting time has passed. The call specifies this waiting time, in milliseconds, as {@code
 * hold_ms}.
 */
public final class ListService {
  private static final Pattern WATCH_QUERY = Pattern.compile("[?]from=(\\d+)&hold_ms=(\\d+) ");
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * A call to which this service has not responded yet.
   *
   * @param responseNanos the value of {@link System#nanoTime} at which the response is due, unless
   *     the list changes earlier
   */
  private record Watch(HttpMessage call, long responseNanos) {}

  /** Provides the endpoint list of the test. */
  public interface Lists {
    /** Returns the current list of all workers, with this version as the version of the list. */
    EndpointList completeList(int version);
  }

  private final StubHttpServer discovery;
  private final Lists lists;
  private final List<Watch> watches = new ArrayList<>();
  private int version;

  /**
   * Creates a service, and starts a daemon thread that responds to calls.
   *
   * @param discovery the stub that receives the calls
   * @param version the version of the initial endpoint list
   * @param lists provides the endpoint list for each response
   */
  public ListService(StubHttpServer discovery, int version, Lists lists) {
    this.discovery = discovery;
    this.version = version;
    this.lists = lists;
    BackgroundThreads.start(this::serve);
  }

  private void serve() throws InterruptedException {
    while (true) {
      if (discovery.hasPendingRequest()) {
        addWatch(discovery.nextRequest());
      } else {
        Thread.sleep(1);
      }
      respondToDueWatches();
    }
  }

  private synchronized void addWatch(HttpMessage call) {
    Matcher query = WATCH_QUERY.matcher(call.startLine());
    boolean isCurrent = query.find() && Integer.parseInt(query.group(1)) == version;
    long waitMillis = isCurrent ? Long.parseLong(query.group(2)) : 0;
    watches.add(new Watch(call, System.nanoTime() + waitMillis * NANOS_PER_MILLI));
  }

  private synchronized void respondToDueWatches() {
    watches.removeIf(
        watch -> {
          boolean isDue = watch.responseNanos <= System.nanoTime();
          if (isDue) {
            respond(watch);
          }
          return isDue;
        });
  }

  private void respond(Watch watch) {
    try {
      lists.completeList(version).respondTo(watch.call);
    } catch (IOException e) {
      // The dispatcher has exited, so it needs no response.
    }
  }

  /**
   * Increments the version of the list, and responds to all waiting calls with the current list. A
   * test calls this method after it has changed the list.
   */
  public synchronized void changed() {
    version++;
    watches.forEach(this::respond);
    watches.clear();
  }
}
