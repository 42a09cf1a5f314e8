/**
 * The parts of a dispatcher that outlast one process: hot restart and the overrides that operators
 * set.
 *
 * <p>In a hot restart, a new process (the successor) replaces the running process (the predecessor)
 * while clients are served. The documentation for operators and the log call this an upgrade. Both
 * processes serve as one dispatcher until the predecessor has ended. If the successor is replaced
 * before that, three processes serve as one dispatcher for a time. A peer of a process is its
 * predecessor or a successor, while it is connected to the process.
 */
package loomreel.process;
