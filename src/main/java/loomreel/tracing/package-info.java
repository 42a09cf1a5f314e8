/**
 * Reads the trace lines that dispatchers write if they were started with {@code serve --trace}, and
 * aggregates the trace lines of a fleet.
 */
package loomreel.tracing;
