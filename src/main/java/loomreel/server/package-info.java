/** Puts fronts, copy workers, the core and the life of the process together. */
package loomreel.server;
