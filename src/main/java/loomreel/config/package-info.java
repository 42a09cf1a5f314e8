/**
 * The configuration of a dispatcher process and the endpoint lists. The platform passes the
 * configuration as a JSON file and environment variables. Endpoint lists, which name the workers,
 * are received from discovery, and the configuration contains one as well. Both have the same JSON
 * format.
 */
package loomreel.config;
