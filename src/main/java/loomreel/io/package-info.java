/**
 * The event loop with its timers and clock, byte connections that use pooled buffers, the
 * rate-limited logger, and the trace writer. Depends on no other package of the program.
 */
package loomreel.io;
