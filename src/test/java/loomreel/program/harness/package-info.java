/**
 * The harness of the tests that run the whole program. The harness starts the dispatcher as a
 * separate process or in the process of the test. It also provides stub discovery, stub workers,
 * clients, configurations and transcripts.
 */
package loomreel.program.harness;
