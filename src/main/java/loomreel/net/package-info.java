/** The real dispatcher: one selector loop that serves clients, copy workers' calls and discovery. */
package loomreel.net;
