package loomreel.faktory.storage;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import loomreel.faktory.payload.JobPayloadReader;
import loomreel.faktory.queue.Job;
import loomreel.faktory.queue.Job.State;
import loomreel.faktory.queue.JobListener;
import loomreel.faktory.queue.JobQueue;
import loomreel.wal.WriteAheadLog;

/**
 * Stores the jobs of a {@link JobQueue} in a {@link WriteAheadLog}: each job in full when it is
 * pushed, then its changes of state, and that an attempt is handed out to a worker. Of a job that
 * has ended, its jid stays in the log for as long as the queue knows it.
 *
 * <p>Restoring gives the queue as it was, except that a job which was active when the process ended
 * is enqueued again, or is dead where it may have run and must not run twice. Owns the log and
 * closes it. Times are microseconds of Unix time.
 */
public final class DurableJobStore implements JobListener {
  /** What the store has to know of a request class. */
  public interface RequestClasses {
    /**
     * Whether its jobs may run again although they may have run; their attempts are not recorded.
     */
    boolean isIdempotent(int requestClass);

    /** Whether its jobs must survive a loss of power, and not only the end of the process. */
    boolean isSynced(int requestClass);
  }

  /** Receives the jobs that cannot be restored under the settings of this process. */
  interface UnusableJobListener {
    /** Called for each of them; it stays in the log for settings that can use it. */
    void unusableJob(String jid, String reason);
  }

  private final WriteAheadLog log;
  private final RequestClasses classes;
  private final long maxBytes;
  private final JobRecordCodec codec = new JobRecordCodec();
  private final RecordIndex index = new RecordIndex();
  private final LogCompactor compactor;

  /** Whether changes are those of {@link #restore}, which the log has already. */
  private boolean isRestoring;

  /**
   * Creates a store that holds nothing; {@link #restore} has to follow.
   *
   * @param log is closed with the store
   * @param segmentBytes size of the log's segments
   * @param maxBytes size of the log beyond which no job is accepted
   */
  DurableJobStore(WriteAheadLog log, RequestClasses classes, long segmentBytes, long maxBytes) {
    this.log = log;
    this.classes = classes;
    this.maxBytes = maxBytes;
    compactor = new LogCompactor(log, index, this::rewrite, segmentBytes, maxBytes);
  }

  /**
   * Restores the jobs of earlier processes into a queue, and opens the log for this process.
   *
   * @return how many jobs wait or are dead
   * @throws IOException if the log cannot be read
   */
  int restore(JobQueue queue, JobPayloadReader payloads, UnusableJobListener unusable, long now)
      throws IOException {
    JobReplay replay =
        new JobReplay(
            codec, queue.limits().maxKnownEndedJobs(), queue.limits().heap().maxRestoredBytes());
    log.open(replay);
    replay.inOrderOfEnd().forEach(end -> restoreEnded(queue, end, now));
    List<StoredJob> storedJobs = replay.inArrivalOrder();
    // On all cores, since parsing dominates the duration of a start with a long backlog.
    storedJobs.parallelStream().forEach(stored -> stored.parsePayload(payloads));
    int count = 0;
    for (StoredJob stored : storedJobs) {
      if (!stored.isUsable()) {
        unusable.unusableJob(stored.jid(), stored.unusableReason());
        index.addLive(stored.toUnusableJob(), stored.segment(), stored.recordBytes());
      } else {
        restoreJob(queue, stored, now);
        count++;
      }
    }
    log.sync();
    return count;
  }

  private void restoreEnded(JobQueue queue, StoredEnd stored, long now) {
    JobRecord.Ended end = stored.record();
    queue
        .restoreEnded(end.jid(), end.state(), end.mayHaveRun(), end.endedAtMicros(), now)
        .ifPresent(job -> index.addEnded(job, stored.segment(), stored.recordBytes()));
  }

  private void restoreJob(JobQueue queue, StoredJob stored, long now) {
    StoredJob.Restored restored =
        stored.resolve(classes.isIdempotent(stored.spec().requestClass()));
    isRestoring = true;
    queue.restore(restored.job(), restored.state(), restored.reason(), now);
    isRestoring = false;
    Job job = queue.find(stored.jid());
    if (job.payload() == null) {
      appendEnd(job);
      return;
    }
    index.addLive(job, stored.segment(), stored.recordBytes());
    if (restored.isChanged()) {
      appendStateChange(job);
    }
  }

  /** Why no further job can be stored, for the client that pushes it; empty where one can. */
  Optional<String> rejectionReason() {
    Optional<String> fault = log.fault();
    if (fault.isPresent()) {
      return Optional.of("jobs cannot be kept: " + fault.get());
    }
    return log.bytes() > maxBytes
        ? Optional.of("the spool is full: " + maxBytes + " bytes")
        : Optional.empty();
  }

  /** Whether jobs of a class must survive a loss of power. */
  boolean isSynced(int requestClass) {
    return classes.isSynced(requestClass);
  }

  /**
   * Runs an action once all changes so far survive the end of the process, or a loss of power where
   * {@code isSynced}.
   */
  void whenDurable(boolean isSynced, Runnable action) {
    if (isSynced) {
      log.whenSynced(action);
    } else {
      log.write();
      action.run();
    }
  }

  /** Writes all changes so far to the operating system. */
  void write() {
    log.write();
  }

  /** Writes all changes so far, and starts to sync them to the disk. */
  void sync() {
    log.sync();
  }

  /**
   * Records that an attempt is handed out to a worker; has to be called before its first byte is
   * sent.
   *
   * @return false where the record cannot be written although the job must not run twice
   */
  boolean recordHandedOut(Job job) {
    if (job.isHandedOut() || classes.isIdempotent(job.spec().requestClass())) {
      return true;
    }
    job.setHandedOut(true);
    append(new JobRecord.HandedOut(job.spec().jid()));
    log.write();
    return log.fault().isEmpty();
  }

  /** Bytes at the ends of earlier processes' segments that were no complete record. */
  int truncatedBytes() {
    return log.truncatedBytes();
  }

  @Override
  public void stateChanged(Job job, State from) {
    if (isRestoring) {
      return;
    }
    if (job.state() == State.ACTIVE) {
      job.setHandedOut(false);
    }
    if (job.payload() == null) {
      appendEnd(job);
    } else if (!job.hasLogRecord()) {
      appendFullJob(job);
    } else if (!isImplied(job, from)) {
      appendStateChange(job);
    }
  }

  /** Whether restoring without a record of this change gives the same. */
  private boolean isImplied(Job job, State from) {
    return switch (job.state()) {
      case ENQUEUED ->
          (from == State.SCHEDULED || from == State.RETRY) && job.dueMicros() <= job.updatedAt();
      case ACTIVE -> classes.isIdempotent(job.spec().requestClass());
      case SCHEDULED, RETRY, DONE, DEAD, EXPIRED, CANCELLED -> false;
    };
  }

  @Override
  public void deadJobDropped(Job job) {
    if (job.hasLogRecord()) {
      appendEnd(job);
    }
  }

  @Override
  public void endedJobForgotten(Job job) {
    index.remove(job);
  }

  /** Appends the needed record of a job again. */
  private void rewrite(Job job) {
    if (job.payload() == null) {
      appendEnd(job);
    } else {
      appendFullJob(job);
    }
  }

  private void appendFullJob(Job job) {
    JobRecord.FullJob record =
        new JobRecord.FullJob(job.spec().jid(), job.snapshot(), job.arrivalOrder(), job.payload());
    byte[] content = codec.encode(record);
    index.addLive(job, log.append(content), content.length);
  }

  /** Records that only the jid of a job is known from now on. */
  private void appendEnd(Job job) {
    JobRecord.Ended record =
        new JobRecord.Ended(job.spec().jid(), job.state(), job.mayHaveRun(), job.updatedAt());
    byte[] content = codec.encode(record);
    index.addEnded(job, log.append(content), content.length);
  }

  private void appendStateChange(Job job) {
    append(new JobRecord.StateChange(job.spec().jid(), job.snapshot()));
  }

  private void append(JobRecord record) {
    log.append(codec.encode(record));
  }

  /**
   * Removes old segments, a little at a time; see {@link LogCompactor}.
   *
   * @return whether there is more to do at once
   */
  boolean compact() {
    return compactor.compact();
  }

  /** Whether a removal of segments waits for the disk. */
  boolean isRemovingSegments() {
    return compactor.isRemoving();
  }

  /** Writes all changes and closes the log. */
  void close() throws IOException {
    log.close();
  }
}
