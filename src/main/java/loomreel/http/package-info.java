/**
 * HTTP/1.1 on the event loop: the parser of requests and responses, the formatter of their heads,
 * and the pools of connections on which this program sends requests.
 */
package loomreel.http;
