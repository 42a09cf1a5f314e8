/** The JSON payloads of jobs: as clients push them, and as workers fetch them. */
package loomreel.faktory.payload;
