/**
 * What outlives one process of a dispatcher: hot restart, in which a successor process replaces its
 * predecessor, and what operators set by hand.
 */
package loomreel.process;
