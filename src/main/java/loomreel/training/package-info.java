/** The training run for the JVM's class archive, which makes later starts quicker. */
package loomreel.training;
