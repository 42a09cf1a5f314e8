package loomreel.decision;

/** Whether a request may be attempted again after an attempt that may have run. */
public enum Idempotency {
  /**
   * The request may be attempted again at any worker. Running the job twice has the same effect as
   * running it once.
   */
  IDEMPOTENT,
  /**
   * The request has an idempotency key. It may be attempted again only at workers that recognize
   * the repetition by this key. {@link DeduplicationScope} defines these workers.
   */
  KEYED,
  /** The request may not be attempted again. */
  NON_IDEMPOTENT
}
