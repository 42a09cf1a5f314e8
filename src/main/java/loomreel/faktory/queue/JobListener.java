package loomreel.faktory.queue;

/** Receives every change of a {@link JobQueue}, after it has been made. */
public interface JobListener {
  /** Ignores all changes. */
  JobListener NONE =
      new JobListener() {
        @Override
        public void stateChanged(Job job, Job.State from) {}

        @Override
        public void deadJobDropped(Job job) {}
      };

  /**
   * Called when a job has entered the queue or changed its state.
   *
   * @param job the job; where its payload is null it has ended for good
   * @param from the state before, or null where the job is new
   */
  void stateChanged(Job job, Job.State from);

  /** Called when a dead job is no longer retained. */
  void deadJobDropped(Job job);
}
