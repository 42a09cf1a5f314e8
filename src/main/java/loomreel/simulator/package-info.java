/**
 * Connects the decision module to the simulator: reads batches of events from an input stream,
 * passes them to one {@link loomreel.decision.DispatchPolicy} per simulated dispatcher, and writes
 * the resulting actions to an output stream. The {@code simulate} command uses standard input and
 * standard output. This package only translates; the policy makes every decision.
 */
package loomreel.simulator;
