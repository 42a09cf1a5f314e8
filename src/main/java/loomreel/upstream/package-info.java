/**
 * The workers that are called over HTTP/1.1. The package submits jobs, checks the health of
 * workers, reads their load reports and job status updates, and detects outliers in static endpoint
 * lists.
 *
 * <p>{@link loomreel.upstream.HttpWorkerPool} is the entry point. It has a subchannel for each
 * worker of the endpoint list. Everything runs on the event loop's thread.
 */
package loomreel.upstream;
