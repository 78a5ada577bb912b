import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Each worker takes 64 channels. After a turn of a queue, the machine of the owner freezes and wakes again. */
final class FrozenOwner {
    private static final long CPU = 64_000;
    private static final int WORKERS = 4;
    private static final int JOBS_AT_ONCE = 3;
    private static final int TURNS = 4;
    private static final long LARGE_TASKS = 400;
    private static final long MOST_TURN_MILLIS = 30_000;
    private static final long FREEZE_MILLIS = 4_000;
    private static final long CALM_MILLIS = 12_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long NOTHING_RUNNING_MILLIS = 3_000;

    private static final Random random = new Random(1);

    public static void main(String[] arguments) throws Exception {
        Worker.mostChannels = 64;
        Site site = new Site(arguments);
        site.config(7, List.of(Site.route("r-salle", "/salle/", "salle")), List.of(Site.service("salle")));
        for (int i = 0; i < WORKERS; i++) site.addMachine("m-" + i, "salle", CPU);
        for (int i = 0; i < 3; i++) site.addEntry();
        site.awaitReady();
        Thread.sleep(2_000);

        // The turn of the queue: more than its pool holds. Then it asks little, and all jobs end.
        int done = 0;
        for (int turn = 0; turn < TURNS; turn++) {
            List<String> jobs = sendAtOnce(site);
            long endMillis = site.record.now() + MOST_TURN_MILLIS;
            for (String path : jobs) {
                while (!isCompleted(site, path)) {
                    if (site.record.now() > endMillis) site.finish(2, path + " of a turn is not completed; " + channels(site));
                    Thread.sleep(200);
                }
            }
            done += jobs.size();
            site.record.line(channels(site));
        }
        Thread.sleep(2_000);
        site.record.line("all " + done + " jobs of the turns are completed; " + channels(site));

        Entry owner = site.entries.stream().filter(entry -> entry.name.equals(site.store.lastOwner)).findFirst().get();
        if (site.hasTrouble) {
            owner.signal("STOP");
            site.record.line("freeze   " + owner.name);
            Thread.sleep(FREEZE_MILLIS);
            owner.signal("CONT");
            site.record.line("awake    " + owner.name + "; " + channels(site));
        }
        Thread.sleep(3_000);

        List<String> accepted = new ArrayList<>();
        long untilMillis = site.record.now() + CALM_MILLIS;
        while (site.record.now() < untilMillis) {
            String path = send(site, 4L);
            if (path != null) accepted.add(path);
            Thread.sleep(1_000);
        }
        site.record.line("the traffic has ended; " + channels(site));
        Thread.sleep(FINISH_MILLIS);
        site.record.line(channels(site));

        // Nothing is in use but what these jobs use themselves.
        Set<String> waiting = new LinkedHashSet<>(accepted);
        int most = 0;
        untilMillis = site.record.now() + NOTHING_RUNNING_MILLIS + 500;
        while (site.record.now() < untilMillis) {
            int runs = 0;
            for (Worker worker : site.workersOf("salle")) {
                for (Worker.Run run : worker.runs()) {
                    runs++;
                    waiting.remove("/salle/" + run.task.split("\\.")[0]);
                }
            }
            most = Math.max(most, runs);
            Thread.sleep(20);
        }
        int lost = 0;
        for (String path : waiting) if (!isCompleted(site, path)) lost++;
        String text = lost + " of " + accepted.size() + " accepted jobs of 4 tasks had nothing running for 3 s, 14 s after the traffic, while at most "
            + most + " tasks ran on " + WORKERS + " workers; " + channels(site);
        site.finish(lost > 0 && most * 500 * 4 < WORKERS * CPU ? 1 : 0, text);
    }

    private static List<String> sendAtOnce(Site site) throws Exception {
        List<String> accepted = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < JOBS_AT_ONCE; i++) {
            Thread client = new Thread(() -> {
                String path = send(site, LARGE_TASKS);
                if (path != null) synchronized (accepted) { accepted.add(path); }
            });
            clients.add(client);
            client.start();
        }
        for (Thread client : clients) client.join();
        return accepted;
    }

    private static String send(Site site, long tasks) {
        String path = "/salle/" + String.format("%016x", random.nextLong());
        Map<String, Object> step = Json.of("Count", tasks, "Cpu", 500L, "MemMb", 256L, "EstimatedMs", 900L);
        Entry entry = site.entries.get(random.nextInt(3));
        Http.Answer answer = site.call(entry, "POST", path, Json.of("Specification", "work 900", "Steps", List.of(step)));
        return answer.status == 200 ? path : null;
    }

    private static boolean isCompleted(Site site, String path) {
        Http.Answer answer = site.call(site.entries.get(random.nextInt(3)), "GET", path, null);
        return answer.status == 200 && "completed".equals(Json.map(answer.body).get("State"));
    }

    private static String channels(Site site) {
        List<String> all = new ArrayList<>();
        for (Worker worker : site.workersOf("salle")) all.add(worker.gateway.open.get() + "/" + worker.gateway.refused.get());
        return "owner " + site.store.lastOwner + ", channels open/refused at the workers " + String.join(" ", all);
    }
}
