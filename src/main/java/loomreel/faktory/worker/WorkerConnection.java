package loomreel.faktory.worker;

/** A connection of a worker process, as the pool of workers uses it; compared by identity. */
public interface WorkerConnection {
  /** Called when a job may be waiting for the worker; a FETCH that waits is answered with it. */
  void offer();

  /** Answers a FETCH that waits, if there is one, without a job. */
  void answerFetchWithoutJob();

  /** Closes the connection; what is not written yet is never sent. */
  void close();
}
