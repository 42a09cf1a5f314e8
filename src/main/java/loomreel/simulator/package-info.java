/**
 * Connects the decision module to the simulator: reads batches of events from standard input,
 * passes them to one {@link loomreel.decision.DispatchPolicy} per simulated dispatcher, and writes
 * their actions to standard output. This package translates only; every decision is the policy's.
 */
package loomreel.simulator;
