package loomreel.decision;

/**
 * A load report of a worker. A value that the worker does not report is NaN.
 *
 * @param queuedJobs the number of jobs in the worker's queue
 * @param activeJobs the number of jobs that run or are queued
 * @param utilization the fraction of the worker's capacity that is in use
 * @param freeSlots the number of jobs that could start at once
 */
public record WorkerLoad(
    double queuedJobs, double activeJobs, double utilization, double freeSlots) {}
