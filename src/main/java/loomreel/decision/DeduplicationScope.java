package loomreel.decision;

/** Which workers together deduplicate the attempts of a keyed request. */
public enum DeduplicationScope {
  /** All of them. */
  ALL,
  /** Those of one zone. */
  ZONE,
  /** Those of one failure domain of a zone. */
  FAILURE_DOMAIN;

  /** Whether two workers deduplicate each other's keyed requests. */
  public boolean sharedBy(Endpoint first, Endpoint second) {
    return switch (this) {
      case ALL -> true;
      case ZONE -> first.zone().equals(second.zone());
      case FAILURE_DOMAIN ->
          first.zone().equals(second.zone()) && first.failureDomain() == second.failureDomain();
    };
  }
}
