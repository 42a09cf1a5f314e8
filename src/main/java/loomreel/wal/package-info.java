/**
 * A write-ahead log of records on disk. Records are appended in order, read back up to the last
 * complete record, and deleted one segment at a time. {@link loomreel.wal.WriteAheadLog} is the
 * entry point. The content of records is opaque to this package.
 */
package loomreel.wal;
