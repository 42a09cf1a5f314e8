/**
 * The HTTP server for operators. With its requests, operators check the readiness of the process,
 * read metrics, disable and enable workers, and start and stop client drains.
 *
 * <p>{@link loomreel.admin.AdminServer} is the entry point, and {@code AdminRoute} lists the
 * requests. This package has no state of the dispatcher and makes no decisions: each request calls
 * a method of {@link loomreel.process.AdminOperations}. All code runs on the event loop's thread.
 */
package loomreel.admin;
