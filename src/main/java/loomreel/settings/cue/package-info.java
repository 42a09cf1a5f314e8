/**
 * The language of settings files, a strict subset of CUE: {@link loomreel.settings.cue.Cue} reads a
 * file, unifies it with a schema and gives a {@link loomreel.settings.cue.Tree} of settled values,
 * which {@link loomreel.settings.cue.Binder} binds to Java records.
 */
package loomreel.settings.cue;
