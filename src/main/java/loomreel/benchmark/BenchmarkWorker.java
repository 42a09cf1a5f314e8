package loomreel.benchmark;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicReference;
import loomreel.standin.DaemonProcess;
import loomreel.standin.ExecutionLog;
import loomreel.standin.HttpWorker;

/** The HTTP worker of a benchmark's daemon: completes each job at once and calls back. */
final class BenchmarkWorker implements AutoCloseable {
  private static final String ID = "w0";
  private static final long WORK_MS = 0;

  private final AtomicReference<InetSocketAddress> callbackAddress = new AtomicReference<>();
  private final HttpWorker worker;

  /** Starts the worker, to which the daemon is started afterwards. */
  BenchmarkWorker(int slots) throws IOException {
    worker = new HttpWorker(ID, callbackAddress::get, slots, WORK_MS, new ExecutionLog());
  }

  /**
   * The settings of a daemon that uses this worker.
   *
   * @param classes lines of the section {@code classes}
   * @param faktory lines of the section {@code faktory}
   */
  String settings(String classes, String faktory) {
    return """
    name: "measured"
    listen: {http: "127.0.0.1:0", operators: "127.0.0.1:0"}
    classes: {
    %s}
    workers: %s: {address: "%s", kind: "http"}
    rules: cold_from: 1.0
    limits: {memory: "1GiB", descriptors: 4096}
    faktory: {
    	listen: "127.0.0.1:0"
    %s}
    """
        .formatted(classes, ID, worker.address(), faktory);
  }

  /** Starts a daemon, which the caller owns and which the worker calls back. */
  DaemonProcess startDaemon(String settings, String... flags) throws IOException {
    DaemonProcess daemon = new DaemonProcess(DaemonProcess.writeSettings(settings), flags);
    callbackAddress.set(daemon.http());
    return daemon;
  }

  @Override
  public void close() {
    worker.close();
  }
}
