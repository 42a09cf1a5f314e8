package loomreel.faktory.worker;

/** A connection of a worker process, as the pool of workers uses it; compared by identity. */
public interface WorkerConnection {
  /** A job may be waiting for the worker: a FETCH that waits takes it. */
  void offer();

  /** Ends the wait of a FETCH, if there is one, without a job. */
  void answerFetchWithoutJob();

  /** Closes the connection; what is not written yet is never sent. */
  void close();
}
