/**
 * The Faktory work protocol on the wire: lines of commands, RESP replies, the JSON documents that
 * both carry, and the handshake with its password challenge. Knows nothing of jobs or workers.
 */
package loomreel.faktory.protocol;
