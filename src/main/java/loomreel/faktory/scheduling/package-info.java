/**
 * Attempts of jobs: when one starts, the RPC that it becomes, and what its end does to the job. The
 * decision module chooses the worker, as for any other RPC.
 */
package loomreel.faktory.scheduling;
