package loomreel.core;

/**
 * The status of a rejected call, whose job has not run and which the client may safely retry.
 *
 * @param retryAfter the time that the client should wait before a retry, in microseconds; 0 if no
 *     time is recommended
 * @param reason the reason for the rejection, as text; Faktory's TRACK command returns it, HTTP
 *     responses do not contain it
 */
public record UnavailableStatus(long retryAfter, String reason) {}
