/**
 * One dispatcher process, assembled from its components. {@link loomreel.server.Server} creates and
 * owns the event loop, the dispatcher, the ingresses and the worker pools. The other types divide
 * file descriptors, shut the process down gracefully and apply a configuration that is read again.
 */
package loomreel.server;
