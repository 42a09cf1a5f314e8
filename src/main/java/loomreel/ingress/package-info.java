/**
 * The HTTP/1.1 front: accepts the connections of clients, which submit jobs, and of workers, which
 * send job status updates, and responds to the readiness check.
 *
 * <p>{@link loomreel.ingress.HttpIngress} is the entry point. {@code ClientConnection} serves the
 * requests of one connection and follows the states of {@code ClientConnectionState}; {@code
 * ConnectionRegistry} knows the open connections and {@code ConnectionLimiter} bounds their number.
 * Everything runs on the event loop's thread.
 */
package loomreel.ingress;
