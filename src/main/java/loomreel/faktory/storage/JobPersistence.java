package loomreel.faktory.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.Optional;
import loomreel.faktory.queue.Job;

/** Where jobs that have not ended are stored: on disk ({@link SpoolPersistence}), or nowhere. */
public interface JobPersistence extends Closeable {
  /** No storage: jobs are lost with the process. */
  JobPersistence NONE =
      new JobPersistence() {
        @Override
        public boolean outlivesProcess() {
          return false;
        }

        @Override
        public Optional<String> rejectionReason() {
          return Optional.empty();
        }

        @Override
        public boolean isSynced(int requestClass) {
          return false;
        }

        @Override
        public void whenDurable(boolean isSynced, Runnable then) {
          then.run();
        }

        @Override
        public boolean recordAttempt(Job job) {
          return true;
        }

        @Override
        public void write() {}

        @Override
        public boolean reclaimSpace() {
          return false;
        }

        @Override
        public void close() {}
      };

  /** Whether waiting jobs are there for the next process. */
  boolean outlivesProcess();

  /** Why no further job can be stored now; empty where one can. */
  Optional<String> rejectionReason();

  /** Whether jobs of a class must outlive a loss of power, and not only the process. */
  boolean isSynced(int requestClass);

  /**
   * Runs a task once all that was recorded so far outlives the process, or a loss of power where
   * {@code isSynced}; possibly before this returns.
   */
  void whenDurable(boolean isSynced, Runnable then);

  /**
   * Records that a job is about to be sent to a worker.
   *
   * @return false where that cannot be recorded, and the job must not run twice
   */
  boolean recordAttempt(Job job);

  /** Passes all that was recorded to the operating system. */
  void write();

  /**
   * Frees a little of the disk space that is no longer needed.
   *
   * @return whether more should be freed at once
   */
  boolean reclaimSpace();

  /**
   * Passes everything on and releases the storage.
   *
   * @throws IOException if that fails, and jobs may be lost
   */
  @Override
  void close() throws IOException;
}
