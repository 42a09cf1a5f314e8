/**
 * An installation's settings: the records they are bound to, the schema that they are checked
 * against, and the reader and validator of settings files.
 */
package loomreel.settings;
