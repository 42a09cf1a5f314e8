/**
 * The HTTP/1.1 ingress. Accepts the connections of clients, which submit jobs, and of workers,
 * which send job status updates, and responds to the readiness check.
 *
 * <p>{@link loomreel.ingress.HttpIngress} is the entry point. {@code ClientConnection} receives the
 * requests of one connection, and {@code ClientConnectionState} lists the states of a connection.
 * {@code ConnectionRegistry} records the open connections, and {@code ConnectionLimiter} limits
 * their number. Everything runs on the event loop's thread.
 */
package loomreel.ingress;
