package loomreel.program.harness;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loomreel.standin.BackgroundThreads;

/** Serves the endpoint list of a test from its stub discovery, and tells changes at once. */
public final class ListService {
  private static final Pattern QUERY = Pattern.compile("[?]from=(\\d+)&hold_ms=(\\d+) ");
  private static final long NANOS_PER_MILLI = 1_000_000;

  private record Watch(HttpMessage call, long endNanos) {}

  /** The list of a version. */
  public interface Lists {
    /** The complete list, with that version. */
    EndpointList complete(int version);
  }

  private final StubHttpServer discovery;
  private final Lists lists;
  private final List<Watch> watches = new ArrayList<>();
  private int version;

  /**
   * Starts the service.
   *
   * @param version of the list that is known at the start
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
        accept(discovery.nextRequest());
      } else {
        Thread.sleep(1);
      }
      endWatches();
    }
  }

  private synchronized void accept(HttpMessage call) {
    Matcher query = QUERY.matcher(call.startLine());
    boolean isKnown = query.find() && Integer.parseInt(query.group(1)) == version;
    long waitMillis = isKnown ? Long.parseLong(query.group(2)) : 0;
    watches.add(new Watch(call, System.nanoTime() + waitMillis * NANOS_PER_MILLI));
  }

  private synchronized void endWatches() {
    watches.removeIf(
        watch -> {
          boolean ended = watch.endNanos <= System.nanoTime();
          if (ended) {
            respond(watch);
          }
          return ended;
        });
  }

  private void respond(Watch watch) {
    try {
      lists.complete(version).respondTo(watch.call);
    } catch (IOException e) {
      // The dispatcher has ended.
    }
  }

  /** The list has changed: all watches are told. */
  public synchronized void changed() {
    version++;
    watches.forEach(this::respond);
    watches.clear();
  }
}
