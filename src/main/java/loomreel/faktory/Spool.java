package loomreel.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import loomreel.faktory.Job.State;
import loomreel.io.BoundedLog;

/** What a process that is asked to stop leaves for the next one: a line of JSON for each job that waits or is dead. */
final class Spool {
    private Spool() { }

    /** Writes it whole or not at all; how many jobs it holds. */
    static int write(Path file, JobBook book) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".new");
        int count = 0;
        try (BufferedWriter out = Files.newBufferedWriter(next)) {
            for (Job job : book.keepsakes()) {
                ObjectNode line = Payloads.JSON.createObjectNode();
                // One that is still under way when the process must end may have run.
                boolean underWay = job.state == State.ACTIVE;
                line.put("state", underWay ? State.DEAD.name() : job.state.name()).put("due", job.due)
                        .put("failures", job.failures).put("may_have_run", underWay || job.mayHaveRun)
                        .put("reason", underWay ? "may have run: the process ended" : job.reason);
                line.set("payload", Payloads.JSON.readTree(job.payload));
                out.write(Payloads.JSON.writeValueAsString(line));
                out.newLine();
                count++;
            }
        }
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        return count;
    }

    /**
     * Takes it over; it is set aside, so that no later process takes what this one may have served by then.
     *
     * @return how many jobs were taken over
     * @throws IOException if it is there and cannot be read
     */
    static int read(Path file, Payloads payloads, JobBook book, long now, BoundedLog log) throws IOException {
        if (!Files.exists(file)) {
            return 0;
        }
        Path taken = file.resolveSibling(file.getFileName() + ".taken");
        Files.move(file, taken, StandardCopyOption.ATOMIC_MOVE);
        int count = 0;
        try (BufferedReader in = Files.newBufferedReader(taken)) {
            for (String text = in.readLine(); text != null; text = in.readLine()) {
                try {
                    JsonNode line = Payloads.read(text);
                    JsonNode payload = line.path("payload");
                    book.restore(payloads.spec(payload), Payloads.JSON.writeValueAsBytes(payload),
                            State.valueOf(line.path("state").asText()), line.path("due").asLong(),
                            line.path("failures").asInt(), line.path("reason").asText(),
                            line.path("may_have_run").asBoolean(), now);
                    count++;
                } catch (Payloads.BadPayloadException | IllegalArgumentException e) {
                    log.warn("a job of the earlier process is not taken over, it stays in " + taken.getFileName() + ": "
                            + e.getMessage());
                }
            }
        }
        return count;
    }
}
