/**
 * The harness of the whole-program tests. It starts the dispatcher as a separate process or in the
 * process of the test, and provides stub discovery, stub workers, clients, configurations and
 * transcripts.
 */
package loomreel.program.harness;
