/**
 * What all protocols have in common: the table of active calls with their attempts, and the {@link
 * loomreel.core.Dispatcher}, which drives the decision module. An {@link loomreel.core.Ingress}
 * accepts calls, a {@link loomreel.core.WorkerPool} lists {@link loomreel.core.Subchannel}s to
 * workers; nothing in this package depends on a protocol.
 */
package loomreel.core;
