/**
 * Faktory workers as subchannels of the dispatcher: which processes are connected, how many jobs
 * each runs at a time, and the hand-over of attempts to their FETCH commands.
 */
package loomreel.faktory.worker;
