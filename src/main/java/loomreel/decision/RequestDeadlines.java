package loomreel.decision;

/**
 * The deadlines of a request, in microseconds of the dispatcher's clock.
 *
 * <p>An answer has its full value if the latency objective of the request is met. A late answer has
 * only a fraction of this value, which may be 0; {@link
 * Settings.RequestClass#latePriorityFraction()} defines the fraction.
 *
 * @param objectiveStartDeadline the time before which the job must start to meet the latency
 *     objective
 * @param startDeadline the time before which the job must start for its answer to have any value
 * @param answerDeadline the time, shortly before the client's deadline, at which the request is
 *     given up if it has no final answer
 */
record RequestDeadlines(long objectiveStartDeadline, long startDeadline, long answerDeadline) {}
