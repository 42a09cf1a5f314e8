package loomreel.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Who is tried next, and whether anybody is. */
class AdmissionTest {
    private static final long MS = 1000;
    private final Admission admission = new Admission(Map.of("a", 3, "b", 1), 2);

    @Test
    void queuesShareByWeight() {
        admission.room(1000);
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String queue = admission.next(List.of("a", "b", "other"), 0);
            admission.opened();
            admission.served(queue);
            turns.merge(queue, 1, Integer::sum);
        }
        assertEquals(Map.of("a", 300, "b", 100, "other", 200), turns);
    }

    @Test
    void tooManyOpenTriesStopAll() {
        admission.room(3);
        for (int i = 0; i < 3; i++) {
            assertNotNull(admission.next(List.of("a"), 0));
            admission.opened();
        }
        assertNull(admission.next(List.of("a"), 0));
        admission.served("a");
        assertEquals("a", admission.next(List.of("a"), 0));
    }

    /** A full fleet is asked ever more seldom, never in a busy loop; the other queues go on. */
    @Test
    void aRefusedQueuePausesLongerAndLonger() {
        admission.room(100);
        long now = 0;
        int asked = 0;
        while (now < 10_000 * MS) {
            if (admission.next(List.of("a"), now) == null) {
                long resumes = admission.resumesAt(List.of("a"), now);
                assertTrue(resumes > now);
                assertEquals("b", admission.next(List.of("a", "b"), now));
                now = resumes;
                continue;
            }
            asked++;
            admission.opened();
            admission.refused("a", 0, now);
        }
        assertTrue(asked >= 5 && asked <= 12, "asked " + asked + " times in 10 s");
        assertEquals(1, (int) admission.window());
        for (int i = 0; i < 2000; i++) {
            admission.opened();
            admission.served("a");
        }
        assertTrue(admission.window() > 50, "window " + admission.window());
    }

    /** Tries that were refused together are one piece of news. */
    @Test
    void refusalsOfOneMomentShrinkTheWindowOnce() {
        admission.room(100);
        double before = admission.window();
        for (int i = 0; i < 10; i++) {
            admission.opened();
            admission.refused("a", 0, 1000 * MS);
        }
        assertEquals(before * 0.7, admission.window(), 1e-9);
    }
}
