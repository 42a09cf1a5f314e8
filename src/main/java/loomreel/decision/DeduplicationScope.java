package loomreel.decision;

/**
 * The group of workers that deduplicate the attempts of a keyed request together. Each worker of
 * the group recognizes an attempt if another attempt of the same request was sent to any worker of
 * the group. {@link Idempotency#KEYED} describes keyed requests.
 */
public enum DeduplicationScope {
  /** All workers. */
  ALL,
  /** The workers of one zone. */
  ZONE,
  /** The workers of one failure domain within a zone. */
  FAILURE_DOMAIN;

  /**
   * Returns whether two workers belong to the same group, so that each recognizes attempts of a
   * keyed request that were sent to the other.
   */
  public boolean sharedBy(Endpoint first, Endpoint second) {
    return switch (this) {
      case ALL -> true;
      case ZONE -> first.zone().equals(second.zone());
      case FAILURE_DOMAIN ->
          first.zone().equals(second.zone()) && first.failureDomain() == second.failureDomain();
    };
  }
}
