/**
 * The configuration of a dispatcher process, which the platform passes as JSON and environment
 * variables, and the endpoint lists, which have the same format there and in discovery.
 */
package loomreel.config;
