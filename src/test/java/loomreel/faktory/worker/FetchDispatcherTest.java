package loomreel.faktory.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What waits for a FETCH, what is being written and what may run. */
class FetchDispatcherTest {
  private final FetchDispatcher<String, Object> dispatcher = new FetchDispatcher<>();
  private final Object one = new Object();
  private final Object two = new Object();

  private static List<String> ids(List<FetchDispatcher.Item<String, Object>> items) {
    return items.stream().map(FetchDispatcher.Item::id).toList();
  }

  @Test
  void onlyItemsWhoseLastByteIsWrittenMayRun() {
    dispatcher.enqueue("a", "q", "A", 3);
    dispatcher.enqueue("b", "q", "B", 3);
    dispatcher.enqueue("c", "other", "C", 3);
    assertNull(dispatcher.enqueue("d", "q", "D", 3), "too many wait");
    assertEquals("a", dispatcher.fetch("q"::equals, one).id());
    dispatcher.setEndOffset(one, 100);
    assertEquals("b", dispatcher.fetch("q"::equals, one).id());
    dispatcher.setEndOffset(one, 250);
    assertNull(dispatcher.fetch("q"::equals, one));

    // The first is sent although bytes of the second still wait behind it.
    assertEquals(List.of("a"), ids(dispatcher.markSent(one, 200)));

    List<FetchDispatcher.Item<String, Object>> lost = dispatcher.removeConnection(one);
    assertEquals(2, lost.size());
    lost.forEach(
        item ->
            assertEquals(
                item.id().equals("a") ? FetchDispatcher.State.SENT : FetchDispatcher.State.WRITING,
                item.state()));
    assertEquals(1, dispatcher.waitingCount());
    assertEquals(0, dispatcher.inProgressCount());
  }

  @Test
  void aLostConnectionRemovesOnlyWhatItFetched() {
    dispatcher.enqueue("a", "q", "A", 3);
    dispatcher.enqueue("b", "q", "B", 3);
    dispatcher.fetch(queue -> true, one);
    dispatcher.fetch(queue -> true, two);

    assertEquals(List.of("a"), ids(dispatcher.removeConnection(one)));

    assertNotNull(dispatcher.complete("b"));
    assertNull(dispatcher.complete("b"), "completed once");
    assertNull(dispatcher.complete("a"));
  }

  @Test
  void fetchedItemsCannotBeWithdrawn() {
    FetchDispatcher.Item<String, Object> item = dispatcher.enqueue("a", "q", "A", 3);
    assertNull(dispatcher.enqueue("a", "q", "again", 3), "an id waits once");
    dispatcher.fetch(queue -> true, one);
    assertNull(dispatcher.enqueue("a", "q", "again", 3));

    assertFalse(dispatcher.withdraw(item));
    assertTrue(dispatcher.withdrawAll().isEmpty());
  }

  @Test
  void itemsInProgressAreRemovedWhenTheyExpire() {
    FetchDispatcher.Item<String, Object> item = dispatcher.enqueue("a", "q", "A", 3);
    dispatcher.fetch(queue -> true, one);
    item.setExpiry(10);

    dispatcher.removeExpired(9);
    assertEquals(1, dispatcher.inProgressCount());
    dispatcher.removeExpired(10);
    assertEquals(0, dispatcher.inProgressCount());
  }
}
