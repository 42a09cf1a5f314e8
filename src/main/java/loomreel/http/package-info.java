/**
 * HTTP/1.1 on the event loop: the parser of messages, the formatter of message heads, and pooled
 * client connections.
 */
package loomreel.http;
