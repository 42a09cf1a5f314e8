/**
 * Reads the trace lines that dispatchers write with {@code serve --trace}, and aggregates those of
 * a fleet.
 */
package loomreel.tracing;
