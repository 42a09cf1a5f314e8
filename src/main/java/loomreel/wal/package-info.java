/**
 * A write-ahead log of records on disk. Records are appended in order. The next process reads the
 * records back, in each segment up to the last complete record. Records are deleted by deleting the
 * oldest segment. {@link loomreel.wal.WriteAheadLog} is the entry point. This package does not
 * interpret the content of records. The word "journal" in the names of files and of the sync thread
 * means the log.
 */
package loomreel.wal;
