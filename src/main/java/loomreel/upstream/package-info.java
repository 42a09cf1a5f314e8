/**
 * The workers that are called over HTTP/1.1. The package submits jobs, checks the health of
 * workers, reads their load reports and job status updates, and detects workers of static endpoint
 * lists that cannot be reached.
 *
 * <p>{@link loomreel.upstream.HttpWorkerPool} is the entry point. The pool has a subchannel for
 * each worker of the endpoint list. Everything runs on the event loop's thread.
 */
package loomreel.upstream;
