/**
 * The HTTP server for operators: readiness, metrics, disabling workers and client drains. It holds
 * no state of the dispatcher and makes no decisions.
 *
 * <p>{@link loomreel.admin.AdminServer} is the entry point, and {@code AdminRoute} lists the
 * requests. {@link loomreel.process.AdminOperations} carries them out. Everything runs on the event
 * loop's thread.
 */
package loomreel.admin;
