package loomreel.faktory;

import java.util.List;
import loomreel.faktory.worker.FaktoryWorkerPool;
import loomreel.faktory.worker.WorkerConnection;
import loomreel.faktory.worker.WorkerRegistry;
import loomreel.io.EventLoop;

/**
 * What a connection of a worker process has beyond one of a client that only pushes: the FETCH that
 * waits, and the jobs that are written on it. Owned by its {@link FaktoryConnection}.
 */
final class WorkerSession {
  private final FaktoryWorkerPool workers;
  private final WorkerRegistry.Worker worker;
  private final WorkerConnection connection;
  private final Timeout fetchTimeout;

  /** The queues of the FETCH that waits, or that has waited last. */
  private List<String> fetchQueues = List.of();

  WorkerSession(
      EventLoop loop,
      FaktoryWorkerPool workers,
      WorkerRegistry.Worker worker,
      WorkerConnection connection) {
    this.workers = workers;
    this.worker = worker;
    this.connection = connection;
    fetchTimeout = new Timeout(loop);
  }

  /** The worker process. */
  WorkerRegistry.Worker worker() {
    return worker;
  }

  /** The payload of a job of these queues, or null where none is waiting. */
  byte[] fetch(List<String> queues) {
    return workers.fetch(worker, connection, queues);
  }

  /** The payload of a job for the FETCH that waits, or null where none is waiting. */
  byte[] fetchForWaiting() {
    return fetch(fetchQueues);
  }

  /** A FETCH starts to wait for a job of these queues, for so long at most. */
  void startFetchWait(List<String> queues, long micros) {
    fetchQueues = queues;
    workers.addWaitingFetches(worker, 1);
    fetchTimeout.start(micros, connection::answerFetchWithoutJob);
  }

  /** The FETCH that waited waits no longer. */
  void endFetchWait() {
    fetchTimeout.stop();
    workers.addWaitingFetches(worker, -1);
  }

  /** A fetched job has been appended to the output, of which it is the end so far. */
  void jobAppended(long endOffset) {
    workers.setEndOffset(worker, connection, endOffset);
  }

  /** So many bytes of the output have been written in all. */
  void bytesWritten(long bytes) {
    workers.bytesWritten(worker, connection, bytes);
  }

  /** The connection has closed. */
  void disconnect() {
    workers.disconnect(worker, connection);
  }
}
