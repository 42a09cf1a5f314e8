package loomreel.decision;

/**
 * The deadlines of a request, in microseconds of the dispatcher's clock.
 *
 * @param latestFullValueStart the latest start of the job for which the answer has its full value
 * @param startDeadline the time from which an answer has no value if the job has not started
 * @param answerDeadline the time at which the request is given up at the latest, shortly before the
 *     client's deadline
 */
record RequestDeadlines(long latestFullValueStart, long startDeadline, long answerDeadline) {}
