/**
 * Connects the decision module to the simulator. Batches of events are read from an input stream.
 * Each simulated dispatcher has its own {@link loomreel.decision.DispatchPolicy}, which gets the
 * events of the dispatcher. The actions of the policies are written to an output stream. The {@code
 * simulate} command uses standard input and standard output. This package only translates; the
 * policies make every decision.
 */
package loomreel.simulator;
