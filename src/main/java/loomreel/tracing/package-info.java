/**
 * Reads the trace lines that dispatchers write with {@code serve --trace}, and aggregates the lines
 * of a fleet.
 */
package loomreel.tracing;
