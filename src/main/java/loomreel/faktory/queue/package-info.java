/**
 * Jobs, their states, and the order in which they run: due times, priorities, deadlines, retries,
 * and the fair sharing of capacity between queues. No I/O, no clock, no threads: times are passed
 * in.
 */
package loomreel.faktory.queue;
