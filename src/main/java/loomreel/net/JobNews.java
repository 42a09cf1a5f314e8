package loomreel.net;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import loomreel.config.JsonTree;

/**
 * A call-back: what a copy worker says of a job.
 *
 * @param from the copy worker
 * @param load its load report, or null
 */
record JobNews(String id, String from, String state, byte[] result, Object load) {
    /** Reads a call-back's body; null where it is no news of a job. */
    static JobNews of(byte[] body) {
        Object tree;
        try {
            tree = JsonTree.read(body);
        } catch (IOException e) {
            return null;
        }
        return tree instanceof Map<?, ?> news && news.get("id") instanceof String id
                && news.get("from") instanceof String from && news.get("state") instanceof String state
                ? new JobNews(id, from, state, news.get("result") instanceof String text
                        ? text.getBytes(StandardCharsets.UTF_8) : new byte[0], news.get("load")) : null;
    }
}
