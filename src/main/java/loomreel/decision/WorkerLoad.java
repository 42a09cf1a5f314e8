package loomreel.decision;

/**
 * A load report of a worker. A value that the report does not contain is NaN.
 *
 * @param queuedJobs the number of jobs in the worker's queue
 * @param activeJobs the number of jobs that run or are queued at the worker
 * @param utilization the fraction of the worker's capacity that is in use
 * @param freeSlots the number of jobs that the worker could start at once
 */
public record WorkerLoad(
    double queuedJobs, double activeJobs, double utilization, double freeSlots) {}
