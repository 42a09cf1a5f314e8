/**
 * Stub clients and workers for HTTP and Faktory, written from the published protocols, and a daemon
 * process to run them against on loopback. Nothing that serves depends on this package.
 */
package loomreel.standin;
