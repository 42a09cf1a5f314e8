package loomreel.cli;

import java.io.IOException;
import loomreel.bench.Benchlink;

/** The command line: {@code java -jar loomreel.jar benchlink}. */
public final class Main {
    private Main() { }

    /**
     * Runs the adapter on standard input and output.
     *
     * @param args the one word {@code benchlink}
     */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar loomreel.jar benchlink");
            System.exit(2);
        }
        try {
            new Benchlink(System.in, System.out).run();
        } catch (Benchlink.BadInputException | IOException e) {
            System.err.println("benchlink: " + e.getMessage());
            System.exit(1);
        }
    }
}
