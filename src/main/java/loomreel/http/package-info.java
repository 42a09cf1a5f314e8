/** HTTP/1.1 on pooled buffers: parsing and writing, with no decisions and no sockets. */
package loomreel.http;
