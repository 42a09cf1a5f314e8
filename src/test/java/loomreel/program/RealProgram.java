package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The program as a process of its own, with discovery and copy workers that the test plays. */
final class RealProgram implements AutoCloseable {
    private static final String SETTINGS = """
            {"Balancers":1,"Discovery":"ask","Locality":"n","TickS":0.004,"Specifics":{"TellsStart":false},
             "RequestClasses":[{"Name":"copy","TargetS":20,"DeadlineS":20,"Repeat":"free","Value":5},
              {"Name":"issue","TargetS":20,"DeadlineS":20,"Repeat":"single_shot","Value":2}],
             "PolicyLimits":{"MaxAttempts":4,"Cancelling":true,"SecondCopies":true,"Probing":%s,"RetryAfter":true,
              "MaxRetryAfterS":1.5,"ConnectTimeoutS":5,"ConnIdleS":60},"Telemetry":{"How":"%s"},
             "Invariants":{"StopSendingWithinS":3,"AskWithinS":0.5,"ColdFrom":0.2,"ColdS":20,"TipMultiple":3,
              "FallS":2,"AnswerSlackS":0.016}}""";
    /** The JVM's flags of the tests' own processes: they start quicker so. */
    private static final List<String> FLAGS = List.of("-XX:TieredStopAtLevel=1");
    /** Gives a configuration an address for operators. */
    private static final UnaryOperator<String> WITH_OPERATORS =
            c -> c.replace("{\"name\"", "{\"mgmt\":\"127.0.0.1:0\",\"name\"");
    private static int ids;

    Http.Peer discovery = new Http.Peer();
    final List<Http.Peer> workers = new ArrayList<>();
    final Process process;
    private final BufferedReader log;
    private final int port;
    private final Path file = Files.createTempFile("loomreel", ".json");
    private final Path directory = Files.createTempDirectory("loomreel");
    /** The processes that the platform has started, and where each hears operators. */
    final List<ProcessHandle> started = new ArrayList<>();
    final List<Integer> operators = new ArrayList<>();

    RealProgram(int workerCount, boolean probing) throws IOException {
        this(workerCount, probing, settings -> settings);
    }

    RealProgram(int workerCount, boolean probing, UnaryOperator<String> change) throws IOException {
        this(workerCount, probing, change, false);
    }

    /** One that operators look after; where the platform holds the listener, it can be started beside itself. */
    static RealProgram operated(int workerCount, boolean platform) throws IOException {
        return new RealProgram(workerCount, false, WITH_OPERATORS, platform);
    }

    /** One started as the platform starts it: descriptor 0, operators, and the JVM's flags of {@code run}. */
    static RealProgram deployed(int workerCount) throws IOException {
        return new RealProgram(workerCount, false, WITH_OPERATORS, true, runFlags());
    }

    /** The JVM's flags in {@code run} of {@code deploy/balancer.toml}: what stands between {@code java} and {@code -jar}. */
    static List<String> runFlags() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"exec java (.*?) -jar ").matcher(Files.readString(Path.of("deploy", "balancer.toml")));
        assertTrue(run.find(), "run starts java by exec");
        return List.of(run.group(1).split(" +"));
    }

    private RealProgram(int workerCount, boolean probing, UnaryOperator<String> change, boolean platform)
            throws IOException {
        this(workerCount, probing, change, platform, FLAGS);
    }

    private RealProgram(int workerCount, boolean probing, UnaryOperator<String> change, boolean platform,
            List<String> flags) throws IOException {
        for (int i = 0; i < workerCount; i++) {
            workers.add(new Http.Peer());
        }
        Files.writeString(file, change.apply("{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + list(41, true, "SERVING") + ",\"settings\":"
                + String.format(SETTINGS, probing, probing ? "probe" : "none") + "}"));
        ProcessBuilder builder = builder(file, "serve", discovery.address(), flags);
        builder.environment().put("TMPDIR", directory.toString());
        if (platform) {
            builder.environment().put("BALANCER_LISTEN_FD", "0");
            List<String> child = new ArrayList<>(List.of(Platform.class.getName(), builder.command().get(0)));
            child.addAll(flags);
            child.addAll(List.of("-cp", System.getProperty("java.class.path")));
            builder.command().addAll(builder.command().indexOf("loomreel.cli.Main"), child);
        }
        process = builder.start();
        log = process.errorReader();
        if (platform) {
            startAnother();
        }
        port = port("listens on");
        if (change.apply("{\"name\"").contains("mgmt")) {
            operators.add(port("operators are heard on"));
        }
    }

    private void startAnother() throws IOException {
        process.outputWriter().append('\n').flush();
        started.add(ProcessHandle.of(Long.parseLong(process.inputReader().readLine())).orElseThrow());
    }

    /** Starts the program beside itself, as an upgrade does, and waits until it is ready. */
    void upgrade() throws IOException {
        startAnother();
        operators.add(port("operators are heard on"));
        assertEquals(200, operate(started.size() - 1, "GET", "readiness", "").status());
    }

    private int port(String where) throws IOException {
        Matcher port = Pattern.compile(where + " /127.0.0.1:(\\d+)").matcher(awaitLog(where));
        assertTrue(port.find());
        return Integer.parseInt(port.group(1));
    }

    /** An operator's call to one of the processes. */
    Http.Message operate(int process, String method, String call, String body) throws IOException {
        try (Socket socket = connect(operators.get(process))) {
            Http.write(socket, method + " /ops/" + call + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body);
            return Http.read(socket);
        }
    }

    /** What the figures say, where {@code name} is followed by a number, or by a class and a number. */
    int figure(int process, String name) throws IOException {
        String all = operate(process, "GET", "stats", "").body();
        Matcher figure = Pattern.compile("\"" + name.replace(".", "\":\\{[^}]*\"") + "\":(\\d+)").matcher(all);
        assertTrue(figure.find(), name + " in " + all);
        return Integer.parseInt(figure.group(1));
    }

    /** Replaces discovery by another one that the configuration now names, and says so to the program. */
    Http.Peer moveDiscovery() throws Exception {
        Http.Peer before = discovery;
        discovery = new Http.Peer();
        configure(Files.readString(file).replace(before.address(), discovery.address()));
        signal("HUP");
        return before;
    }

    void configure(String text) throws IOException {
        Files.writeString(file, text);
    }

    void signal(String name) throws Exception {
        assertEquals(0, new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor());
    }

    static Process start(Path config, String command, String discovery) throws IOException {
        return builder(config, command, discovery).start();
    }

    static ProcessBuilder builder(Path config, String command, String discovery) {
        return builder(config, command, discovery, FLAGS);
    }

    static ProcessBuilder builder(Path config, String command, String discovery, List<String> flags) {
        List<String> line = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        line.addAll(flags);
        line.addAll(List.of("-cp", System.getProperty("java.class.path"), "loomreel.cli.Main", command));
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("BALANCER_DISCOVERY", discovery);
        return builder;
    }

    /** All copy workers, w0, w1 and so on, in the given states; where none is left the last one serves on. */
    String list(int seq, boolean whole, String... health) {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < workers.size(); i++) {
            hosts.append(i == 0 ? "" : ",").append("{\"host\":\"w").append(i).append("\",\"dial\":\"")
                    .append(workers.get(i).address()).append("\",\"site\":\"n\",\"class\":\"k\",\"block\":0,\"health\":\"")
                    .append(health[Math.min(i, health.length - 1)]).append("\",\"share\":1.0,\"born_ms\":0}");
        }
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}";
    }

    String awaitLog(String part) throws IOException {
        StringBuilder seen = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(part)) {
                return line;
            }
            seen.append(line).append('\n');
        }
        throw new AssertionError("never logged: " + part + "\n" + seen);
    }

    Socket connect() throws IOException {
        return connect(port);
    }

    Socket connect(int port) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(Http.PATIENCE_MS);
        return socket;
    }

    /** A new id, and a job of that id on its way. */
    record Job(String id, Socket socket) {
        Http.Message answer() throws IOException {
            return Http.read(socket);
        }
    }

    Job job(String path, String body) throws IOException {
        return job(connect(), path, 20_000, body);
    }

    Job job(Socket socket, String path, int budget, String body) throws IOException {
        String id = String.format("%016x", ++ids);
        Http.write(socket, "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: " + budget
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        return new Job(id, socket);
    }

    /** A copy worker's call-back; the status of the answer. */
    int news(String id, String from, String state, String more) throws IOException {
        return request("POST /_jobs/news HTTP/1.1\r\nHost: x\r\n", "{\"id\":\"" + id + "\",\"from\":\"" + from
                + "\",\"state\":\"" + state + "\"" + more + "}").status();
    }

    Http.Message request(String head, String body) throws IOException {
        try (Socket socket = connect()) {
            Http.write(socket, head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            return Http.read(socket);
        }
    }

    /** Lets a copy worker take the job that comes next and serve it. */
    void serve(int worker, String result) throws Exception {
        Http.Message post = workers.get(worker).next();
        post.answer(202, "");
        assertEquals(200, news(post.header("X-Call-Id"), "w" + worker, "done", ",\"result\":\"" + result + "\""));
    }

    /** Has so many jobs served, all of them by this one of two copy workers. */
    void allGoTo(int worker, int jobs) throws Exception {
        for (int i = 0; i < jobs; i++) {
            Job job = job("/copy", "");
            serve(worker, "r");
            assertEquals("r", job.answer().body());
        }
        assertFalse(workers.get(1 - worker).wasAsked());
    }

    @Override
    public void close() throws IOException {
        if (started.isEmpty()) {
            process.destroyForcibly();
        } else {
            process.outputWriter().close();
        }
        process.onExit().join();
        try (Stream<Path> left = Files.list(directory)) {
            for (Path path : left.toList()) {
                Files.delete(path);
            }
        }
        Files.delete(directory);
        Files.delete(file);
        discovery.close();
        for (Http.Peer worker : workers) {
            worker.close();
        }
    }
}
