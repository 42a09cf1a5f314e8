/**
 * The parts of a dispatcher that outlast one process: hot restart, in which a successor process
 * replaces its predecessor, and the overrides that operators set.
 */
package loomreel.process;
