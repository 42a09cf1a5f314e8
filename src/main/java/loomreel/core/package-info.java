/**
 * The parts that are common to all protocols: the table of active calls with their attempts, and
 * the {@link loomreel.core.Dispatcher}, which drives the decision module. An {@link
 * loomreel.core.Ingress} accepts calls, and a {@link loomreel.core.WorkerPool} lists the {@link
 * loomreel.core.Subchannel}s to workers. Nothing in this package depends on a protocol.
 */
package loomreel.core;
