package loomreel.decision;

/**
 * The times at which a request's answer loses its value, in microseconds of the dispatcher's clock.
 *
 * @param latestFullValueStart the latest start of the job for which the answer has its full value
 * @param startDeadline from when on a job that has not started has no value
 * @param answerDeadline when the answer has to be given at the latest: just before the client's
 *     deadline
 */
record RequestDeadlines(long latestFullValueStart, long startDeadline, long answerDeadline) {}
