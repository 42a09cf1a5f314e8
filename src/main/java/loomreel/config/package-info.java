/**
 * The configuration of a dispatcher process and the endpoint lists.
 *
 * <p>The platform passes the configuration as a JSON file and environment variables. An endpoint
 * list names the workers. Discovery provides endpoint lists while the process runs, and the
 * configuration contains an initial endpoint list. The initial list has the same JSON format as the
 * lists of discovery.
 */
package loomreel.config;
