/**
 * The decision module of a dispatcher. It selects the worker of each attempt and decides which
 * requests are retried, hedged, queued and rejected. {@link loomreel.decision.DispatchPolicy} takes
 * {@link loomreel.decision.Event}s and returns {@link loomreel.decision.Action}s. The module uses
 * no sockets or threads and reads no clock.
 */
package loomreel.decision;
