/**
 * Watches the endpoint list of discovery, which contains the workers that may be called, with their
 * addresses and states.
 *
 * <p>{@link loomreel.discovery.EndpointWatcher} is the entry point. {@link
 * loomreel.discovery.WatchTimeouts} has the timeouts of the watch. Everything runs on the event
 * loop's thread.
 */
package loomreel.discovery;
