import java.util.List;
import java.util.Map;

/** A task that lasts ends as done; it has to be started again. */
final class LastingDone {
    // A task that lasts may have no run for 3 s, from 6 s after its last run.
    private static final long BOUND_MILLIS = 6_000 + 3_000;

    public static void main(String[] arguments) throws Exception {
        Site site = new Site(arguments);
        site.config(7, List.of(Site.route("r-lasting", "/lasting/", "huvo11a")), List.of(Site.service("huvo11a")));
        for (int i = 0; i < 3; i++) site.addWorker("i-7f3a91c" + i, "huvo11a", 16_000);
        site.addEntry();
        site.addEntry();
        site.awaitReady();
        String path = "/lasting/5c0e7a21d94b36f8";
        Map<String, Object> step = Json.of("Count", 3L, "Cpu", 2_000L, "MemMb", 512L, "EstimatedMs", 1_000L, "LongRunning", true);
        Object job = Json.of("Specification", "lasting", "Steps", List.of(step));
        Http.Answer taken = site.call(site.entries.get(0), "POST", path, job);
        if (taken.status != 200) site.finish(2, "the job was answered with " + taken.status);
        if (!waitForRuns(site, 3, 15_000)) site.finish(2, "the tasks did not start");
        Thread.sleep(2_000);

        // Undisputed: a task that fails is started again.
        end(site, "failed");
        if (!waitForRuns(site, 3, BOUND_MILLIS)) site.finish(1, "a task that failed was not started again");
        Thread.sleep(4_000);

        for (int i = 0; i < 3; i++) {
            if (site.hasTrouble) end(site, "done");
            if (!waitForRuns(site, 3, BOUND_MILLIS)) {
                Http.Answer state = site.call(site.entries.get(1), "GET", path, null);
                Thread.sleep(10_000);
                int runs = runs(site);
                if (runs < 3) {
                    end(site, "done");
                    end(site, "done");
                    Thread.sleep(2_000);
                    Http.Answer last = site.call(site.entries.get(1), "GET", path, null);
                    site.record.line("after all three tasks have ended as done, the job is shown as " + Json.write(last.body));
                    site.finish(1, "a task that lasts ended as done, and " + (3 - runs) + " of 3 tasks had no run for 19 s; the job is shown as "
                        + Json.write(state.body) + ", nobody cancelled it, and 3 sound workers are nearly empty");
                }
            }
            Thread.sleep(4_000);
        }
        site.call(site.entries.get(1), "GET", path, null);
        site.finish(0, "all tasks that last have a run");
    }

    private static int runs(Site site) {
        return site.workers.stream().mapToInt(worker -> worker.runs().size()).sum();
    }

    private static boolean waitForRuns(Site site, int count, long millis) throws Exception {
        long untilMillis = site.record.now() + millis;
        while (site.record.now() < untilMillis) {
            if (runs(site) == count) return true;
            Thread.sleep(20);
        }
        return false;
    }

    private static void end(Site site, String how) {
        for (Worker worker : site.workers) {
            for (Worker.Run run : worker.runs()) {
                worker.end(run, how);
                return;
            }
        }
    }
}
