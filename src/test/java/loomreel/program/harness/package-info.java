/**
 * The harness of the whole-program tests: the program as a process or in the test's process, stubs
 * of discovery and workers, clients, configurations and transcripts.
 */
package loomreel.program.harness;
