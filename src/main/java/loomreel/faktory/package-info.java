/**
 * The Faktory work protocol, version 2: clients push jobs, workers fetch them.
 *
 * <p>This package accepts the connections, carries out their commands, and composes the parts
 * ({@link loomreel.faktory.FaktoryIngress}). Each part has a package of its own:
 *
 * <ul>
 *   <li>{@link loomreel.faktory.protocol}: framing, replies and the handshake
 *   <li>{@link loomreel.faktory.payload}: the JSON payloads of jobs
 *   <li>{@link loomreel.faktory.queue}: jobs, their states and their order; no I/O, no clock
 *   <li>{@link loomreel.faktory.storage}: jobs on disk
 *   <li>{@link loomreel.faktory.worker}: the workers and what is handed over to them
 *   <li>{@link loomreel.faktory.scheduling}: the attempts of jobs
 * </ul>
 *
 * <p>Everything runs on the event loop's thread.
 */
package loomreel.faktory;
