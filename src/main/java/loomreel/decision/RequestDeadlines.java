package loomreel.decision;

/**
 * The times at which a request's answer loses its value, in microseconds of the dispatcher's clock.
 *
 * @param fullValueUntil the latest start of the job for which the answer has its full value
 * @param giveUpAt from when on a job that has not started has no value
 * @param answerDeadline when the answer has to be given at the latest: just before the client's
 *     deadline
 */
record RequestDeadlines(long fullValueUntil, long giveUpAt, long answerDeadline) {}
