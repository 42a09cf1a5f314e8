package loomreel.chaos;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import loomreel.standin.DaemonProcess;
import loomreel.standin.ExecutionLog;
import loomreel.standin.FaktoryWorker;
import loomreel.standin.HttpWorker;

/** The workers of a chaos run, of both kinds. It owns them: closing it ends all of them. */
final class ChaosWorkers implements AutoCloseable {
  /** How many workers of each kind are up at a time. */
  static final int OF_EACH_KIND = 3;

  private static final int SLOTS = 8;
  private static final int WORK_MS = 4;

  private final ExecutionLog executions;
  private final AtomicReference<DaemonProcess> daemon = new AtomicReference<>();
  private final List<HttpWorker> httpWorkers = new ArrayList<>();

  /** The Faktory workers that are up, by position; the fault injector replaces them. */
  private final List<FaktoryWorker> faktoryWorkers = new CopyOnWriteArrayList<>();

  /** All Faktory workers that there were. */
  private final List<FaktoryWorker> allFaktoryWorkers = new CopyOnWriteArrayList<>();

  private int replacements;

  /** Starts the HTTP workers; they call back to the daemon that is started after them. */
  ChaosWorkers(ExecutionLog executions) throws IOException {
    this.executions = executions;
    for (int i = 0; i < OF_EACH_KIND; i++) {
      httpWorkers.add(new HttpWorker(httpId(i), this::callbackAddress, SLOTS, WORK_MS, executions));
    }
  }

  static String httpId(int worker) {
    return "w" + worker;
  }

  /** Starts the Faktory workers at a daemon, which also gets the HTTP workers' callbacks. */
  void connect(DaemonProcess to) {
    daemon.set(to);
    for (int i = 0; i < OF_EACH_KIND; i++) {
      faktoryWorkers.add(startFaktory("f" + i + "-0"));
    }
  }

  HttpWorker http(int worker) {
    return httpWorkers.get(worker);
  }

  FaktoryWorker faktory(int worker) {
    return faktoryWorkers.get(worker);
  }

  /** Starts a new Faktory worker at a position; its predecessor is not changed. */
  void replaceFaktory(int worker) {
    replacements++;
    faktoryWorkers.set(worker, startFaktory("f" + worker + "-" + replacements));
  }

  /** The HTTP workers' section of the daemon's settings. */
  String settings() {
    StringBuilder settings = new StringBuilder();
    for (int i = 0; i < OF_EACH_KIND; i++) {
      settings.append("\t%s: address: \"%s\"\n".formatted(httpId(i), http(i).address()));
    }
    return settings.toString();
  }

  Map<String, Integer> servedByKind() {
    return Map.of(
        "HTTP workers", httpWorkers.stream().mapToInt(HttpWorker::jobsServed).sum(),
        "Faktory workers", allFaktoryWorkers.stream().mapToInt(FaktoryWorker::jobsServed).sum());
  }

  /** Checks that workers that wanted no jobs were sent none. */
  void check(ChaosFindings findings) {
    for (FaktoryWorker worker : allFaktoryWorkers) {
      if (worker.jobsAfterQuiet() > 0) {
        findings.violation("a quiet worker was sent " + worker.jobsAfterQuiet() + " jobs");
      }
    }
    for (HttpWorker worker : httpWorkers) {
      if (worker.unexpectedJobs() > 0) {
        findings.violation(
            "a disabled worker was sent " + worker.unexpectedJobs() + " jobs after the limit");
      }
    }
  }

  @Override
  public void close() {
    allFaktoryWorkers.forEach(FaktoryWorker::close);
    httpWorkers.forEach(HttpWorker::close);
  }

  private InetSocketAddress callbackAddress() {
    return daemon.get().http();
  }

  private FaktoryWorker startFaktory(String workerId) {
    FaktoryWorker worker =
        new FaktoryWorker(
            workerId,
            daemon.get().faktory(),
            ChaosRun.PASSWORD,
            SLOTS,
            WORK_MS,
            executions,
            ChaosJobClass.RENDER.queue(),
            ChaosJobClass.RECORD.queue());
    allFaktoryWorkers.add(worker);
    return worker;
  }
}
