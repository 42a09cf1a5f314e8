package loomreel.faktory.storage;

/**
 * The end of a job by its last record in the log. Used while {@link DurableJobStore} restores, and
 * not afterwards.
 *
 * @param segment the segment that holds the record
 * @param recordBytes size of the record in bytes
 */
record StoredEnd(JobRecord.Ended record, int segment, int recordBytes) {}
