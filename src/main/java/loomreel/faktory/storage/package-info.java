/**
 * Jobs on disk: the records of a job in the write-ahead log, their replay at the start, and the
 * compaction of old segments.
 */
package loomreel.faktory.storage;
