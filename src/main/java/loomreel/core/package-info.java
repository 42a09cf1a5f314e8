/**
 * The parts that are common to all protocols: the table of active calls with their attempts, and
 * the {@link loomreel.core.Dispatcher}, which passes events to the policy, {@link
 * loomreel.decision.DispatchPolicy}, and executes the actions that the policy returns. An {@link
 * loomreel.core.Ingress} accepts calls, and a {@link loomreel.core.WorkerPool} lists the {@link
 * loomreel.core.Subchannel}s to workers. Nothing in this package depends on a protocol.
 */
package loomreel.core;
