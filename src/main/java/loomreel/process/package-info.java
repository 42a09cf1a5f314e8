/** The life of a process: upgrades beside another one, what operators say, drains. */
package loomreel.process;
