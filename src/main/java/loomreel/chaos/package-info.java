/**
 * The chaos test: clients and workers of both protocols at one daemon, injected faults, and the
 * invariants that are checked at the end.
 */
package loomreel.chaos;
