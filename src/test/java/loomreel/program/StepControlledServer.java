package loomreel.program;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import loomreel.config.ServeConfig;
import loomreel.io.TraceWriter;
import loomreel.server.Server;

/**
 * A dispatcher in this process, on real sockets, that can be held between two named steps: every
 * line that it would trace is one. What a test puts there happens on the loop's own thread, so that
 * nothing else does meanwhile.
 */
final class StepControlledServer extends DispatcherHarness {
  /** Something that a test does between two steps of the dispatcher. */
  interface Crossing {
    void happen() throws Exception;
  }

  /** A step that was taken, as the trace words it. */
  record Step(String what, List<Object> fields) {
    Object field(String name) {
      int at = fields.indexOf(name);
      return at < 0 ? null : fields.get(at + 1);
    }
  }

  private record Planned(String what, Crossing crossing) {}

  final Server server;
  final Thread thread;
  private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>();
  private final List<Step> all = Collections.synchronizedList(new ArrayList<>());
  private final BlockingQueue<Planned> planned = new LinkedBlockingQueue<>();
  private final BlockingQueue<Throwable> faults = new LinkedBlockingQueue<>();
  private final int port;

  StepControlledServer(int workerCount, UnaryOperator<String> change) throws Exception {
    this(workerCount, change, null);
  }

  /**
   * A dispatcher with these settings, or with those of {@link DispatcherHarness} where they are
   * null.
   */
  StepControlledServer(int workerCount, UnaryOperator<String> change, String settings)
      throws Exception {
    super(workerCount);
    Path file = Files.createTempFile("loomreel", ".json");
    Files.writeString(
        file, change.apply(settings == null ? configuration(false) : configuration(settings)));
    ServeConfig config = ServeConfig.read(Map.of("BALANCER_CONFIG", file.toString()));
    Files.delete(file);
    server = new Server(config, Optional.empty(), Optional.of(new Steps()));
    port = server.port();
    thread =
        new Thread(
            () -> {
              try {
                server.run();
              } catch (IOException e) {
                faults.add(e);
              }
            },
            "stepped");
    thread.setDaemon(true);
    thread.start();
  }

  private final class Steps extends TraceWriter {
    Steps() {
      super(OutputStream.nullOutputStream());
    }

    @Override
    public void line(long at, String what, Object... fields) {
      Step step = new Step(what, Arrays.asList(fields));
      all.add(step);
      Planned next = planned.peek();
      if (next != null && next.what.equals(what)) {
        planned.remove();
        try {
          next.crossing.happen();
        } catch (Exception | AssertionError e) {
          faults.add(e);
        }
      }
      steps.add(step);
    }
  }

  /**
   * Has something happen as soon as this step is taken, and before it has any effect; one after the
   * other.
   */
  void at(String what, Crossing crossing) {
    planned.add(new Planned(what, crossing));
  }

  /** Waits for the next step of that name; those before it are passed over. */
  Step await(String what) throws Exception {
    long until = System.nanoTime() + Http.PATIENCE_MS * 1_000_000L;
    while (true) {
      Step step = steps.poll(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
      if (!faults.isEmpty()) {
        throw new AssertionError(faults.peek());
      }
      if (step == null) {
        throw new AssertionError("no step " + what);
      }
      if (step.what.equals(what)) {
        return step;
      }
    }
  }

  /** Waits for the next attempt; the number of the copy worker that it is for. */
  int awaitSend() throws Exception {
    return Integer.parseInt(((String) await("send").field("worker")).substring(1));
  }

  /** The steps that were taken since the last one awaited. */
  List<Step> taken() {
    List<Step> all = new ArrayList<>();
    steps.drainTo(all);
    return all;
  }

  /** Every step from the start on. */
  List<Step> stepsSoFar() {
    return List.copyOf(all);
  }

  /**
   * Stops the loop between two turns while something happens outside, as where the process gets no
   * processor.
   */
  void between(Crossing crossing) throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    server
        .loop()
        .execute(
            () -> {
              held.countDown();
              try {
                go.await();
              } catch (InterruptedException e) {
                faults.add(e);
              }
            });
    held.await();
    crossing.happen();
    go.countDown();
  }

  /**
   * What has come up to now has been read, one buffer a turn: those who asked later have been
   * answered, one by one.
   */
  void settle() throws Exception {
    for (int i = 0; i < 20; i++) {
      request("GET /health/ready HTTP/1.1\r\nHost: x\r\n", "");
    }
  }

  @Override
  int port() {
    return port;
  }

  @Override
  public void close() throws IOException {
    server.loop().execute(server.loop()::stop);
    try {
      thread.join(Http.PATIENCE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    server.loop().close();
    super.close();
  }
}
