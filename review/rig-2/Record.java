import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** What was sent, answered and run, in a file, each line with the time since the start. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();
    private final Map<String, Integer> counts = new TreeMap<>();
    private long countedSince;

    /** Whether runs are counted by the second instead of being listed. */
    volatile boolean isBrief;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Milliseconds since the start. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", now() / 1000.0, text);
    }

    /** Records what has become of a run. */
    synchronized void run(String worker, String task, long runId, String what) {
        if (!isBrief) {
            line(worker + ": " + task + " run " + runId + " " + what);
            return;
        }
        counts.merge(what.replaceAll(", token .*", ""), 1, Integer::sum);
        if (now() - countedSince < 1_000) return;
        line("runs: " + counts);
        counts.clear();
        countedSince = now();
    }
}
