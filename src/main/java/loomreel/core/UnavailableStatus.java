package loomreel.core;

/**
 * The status of a rejected call. The client may safely retry the job, because the job has not run
 * or because running it twice does no harm.
 *
 * @param retryAfter the time that the client should wait before a retry, in microseconds; 0 if no
 *     time is recommended
 * @param reason the reason for the rejection, as text; the reply to Faktory's TRACK command
 *     contains the reason, HTTP responses do not
 */
public record UnavailableStatus(long retryAfter, String reason) {}
