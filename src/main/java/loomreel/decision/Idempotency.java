package loomreel.decision;

/** Whether a request may be attempted again after an attempt that may have run. */
public enum Idempotency {
  /**
   * It may be attempted again at any worker. Running the job twice has the same effect as running
   * it once.
   */
  IDEMPOTENT,
  /**
   * It may be attempted again only at workers that recognize the repetition by its idempotency key.
   * {@link DeduplicationScope} tells which ones these are.
   */
  KEYED,
  /** It may not be attempted again. */
  NON_IDEMPOTENT
}
