/**
 * One dispatcher process, assembled from its components. {@link loomreel.server.Server} creates and
 * owns the event loop, the dispatcher, the ingresses and the worker pools. The other types divide
 * the file descriptors of the process, shut the process down gracefully, and reload the
 * configuration.
 */
package loomreel.server;
