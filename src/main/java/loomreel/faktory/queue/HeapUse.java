package loomreel.faktory.queue;

/** The heap that a set of jobs occupies, in bytes, by {@link Job#heapBytes}. */
final class HeapUse {
  private long bytes;

  /** Adds a job, which is in no other set. */
  void add(Job job) {
    job.countedHeapBytes = job.heapBytes();
    bytes += job.countedHeapBytes;
  }

  /** Removes a job of this set, with the size that it was counted with. */
  void remove(Job job) {
    bytes -= job.countedHeapBytes;
    job.countedHeapBytes = 0;
  }

  /** Counts a job of this set again, whose size may have changed. */
  void update(Job job) {
    remove(job);
    add(job);
  }

  /** The bytes of all jobs of the set. */
  long bytes() {
    return bytes;
  }
}
