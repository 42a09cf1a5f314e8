/** Benchmarks of throughput and latency over HTTP and Faktory at one daemon on loopback. */
package loomreel.benchmark;
