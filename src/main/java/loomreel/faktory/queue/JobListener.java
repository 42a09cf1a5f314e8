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

        @Override
        public void endedJobForgotten(Job job) {}
      };

  /**
   * Called when a job has entered the queue or changed its state.
   *
   * @param job the job; where its payload is null it has ended for good
   * @param from the state before, or null where the job is new
   */
  void stateChanged(Job job, Job.State from);

  /** Called when the payload of a dead job is no longer retained; its jid may still be known. */
  void deadJobDropped(Job job);

  /** Called when the jid of an ended job is no longer known, and may be pushed again. */
  void endedJobForgotten(Job job);
}
