package loomreel.faktory.scheduling;

import java.util.List;
import loomreel.decision.Idempotency;
import loomreel.decision.Settings;
import loomreel.faktory.storage.DurableJobStore;
import loomreel.settings.FaktorySettings;

/** The settings of the request classes that jobs belong to, by position. */
public final class JobClasses implements DurableJobStore.RequestClasses {
  private final List<Settings.RequestClass> classes;
  private final FaktorySettings settings;

  /**
   * Creates a view of the settings.
   *
   * @param classes in the order in which jobs refer to them
   */
  public JobClasses(List<Settings.RequestClass> classes, FaktorySettings settings) {
    this.classes = classes;
    this.settings = settings;
  }

  /** The settings of one class. */
  Settings.RequestClass get(int requestClass) {
    return classes.get(requestClass);
  }

  @Override
  public boolean isIdempotent(int requestClass) {
    return classes.get(requestClass).idempotency() == Idempotency.IDEMPOTENT;
  }

  /** By default, jobs that must not run twice also outlive a loss of power. */
  @Override
  public boolean isSynced(int requestClass) {
    FaktorySettings.Durability chosen = settings.durability().get(classes.get(requestClass).name());
    return chosen == null
        ? !isIdempotent(requestClass)
        : chosen == FaktorySettings.Durability.SYNCED;
  }
}
