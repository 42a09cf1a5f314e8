/**
 * A write-ahead log of records on disk: appended in order, read back up to the last complete
 * record, and removed a segment at a time. {@link loomreel.wal.WriteAheadLog} is the entry point;
 * the content of records is opaque to it.
 */
package loomreel.wal;
