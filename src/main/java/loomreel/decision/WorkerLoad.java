package loomreel.decision;

/**
 * A worker's load report. What the worker does not report is NaN.
 *
 * @param queuedJobs jobs in its queue
 * @param activeJobs jobs that run or are queued
 * @param utilization the fraction of its capacity that is in use
 * @param freeSlots jobs that could start at once
 */
public record WorkerLoad(
    double queuedJobs, double activeJobs, double utilization, double freeSlots) {}
