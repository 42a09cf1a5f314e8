package loomreel.core;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The latest call ids that were added, up to a bound. Not thread-safe. */
public final class CallIdHistory {
  /** More than the calls of two deadlines at a usual rate, and less than 1 MB. */
  private static final int MAX_IDS = 4096;

  /** In the order in which they were added. */
  private final Set<String> ids = new LinkedHashSet<>();

  /** Adds an id as the latest one; beyond the bound, the oldest one is removed. */
  public void add(String id) {
    ids.remove(id);
    ids.add(id);
    if (ids.size() > MAX_IDS) {
      ids.remove(ids.iterator().next());
    }
  }

  /** Adds ids in their order. */
  public void addAll(Collection<String> newIds) {
    newIds.forEach(this::add);
  }

  /** Removes an id, if it is there. */
  public void remove(String id) {
    ids.remove(id);
  }

  /** Returns whether an id was added and has not been removed. */
  public boolean contains(String id) {
    return ids.contains(id);
  }

  /** Returns a copy of the ids, the oldest first. */
  public List<String> copy() {
    return List.copyOf(ids);
  }

  /** Removes all ids. */
  public void clear() {
    ids.clear();
  }
}
