import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The queues' demand rises and falls by turns, so that the owner moves machines between their pools. Nothing fails.
 * Without trouble, all queues ask their mean all the time until the last turn, which is the same.
 */
final class Descriptors {
    private static final long CPU = 64_000;
    private static final int MACHINES_PER_POOL = 8;
    private static final long TURN_MILLIS = 4_500;
    private static final long MOST_TURNS_MILLIS = 15 * TURN_MILLIS;
    private static final long LAST_TURN_MILLIS = 4_500;
    private static final long BURST_MILLIS = 4_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long NOTHING_RUNNING_MILLIS = 3_000;
    private static final long LARGE_TASK_CPU = 7_700;
    private static final int LARGE_TASKS = 8;

    private static final Queue<String> large = new ConcurrentLinkedQueue<>();
    private static final Queue<String> accepted = new ConcurrentLinkedQueue<>();

    public static void main(String[] arguments) throws Exception {
        Entry.mostDescriptors = 4_100;
        Site site = new Site(arguments);
        List<String> pools = List.of("salle", "lots", "comptoir", "caisse");
        List<Object> routes = new ArrayList<>();
        List<Object> services = new ArrayList<>();
        for (String pool : pools) {
            routes.add(Site.route("r-" + pool, "/" + pool + "/", pool));
            services.add(Site.service(pool));
        }
        services.add(Site.standby("outils"));
        site.config(7, routes, services);
        site.allowMoves("outils", CPU);
        int number = 0;
        for (String pool : pools) for (int i = 0; i < MACHINES_PER_POOL; i++) site.addMachine("m-" + ++number, pool, false, CPU);
        for (int i = 0; i < MACHINES_PER_POOL; i++) site.addMachine("m-" + ++number, "outils", true, CPU);
        site.addEntry();
        site.addEntry();
        site.awaitReady();
        Thread.sleep(1_000);
        ExecutorService clients = Executors.newFixedThreadPool(32, task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        Random random = new Random(1);
        long startMillis = site.record.now();
        long loggedMillis = 0;
        long tickMillis = 20;
        long now = 0;
        // The first three queues take turns, until an entry misses two questions for its readiness. Then it is the turn
        // of the fourth.
        long lastTurnMillis = MOST_TURNS_MILLIS;
        AtomicInteger misses = watchReadiness(site);
        while (now < lastTurnMillis + LAST_TURN_MILLIS) {
            now = site.record.now() - startMillis;
            if (misses.get() >= 2 && now < lastTurnMillis) {
                site.record.line("an entry is not ready");
                lastTurnMillis = now;
            }
            boolean isLast = now >= lastTurnMillis;
            int turn = isLast ? 3 : (int) (now / TURN_MILLIS % 3);
            for (int queue = 0; queue < 4; queue++) {
                boolean isLarge = isLast && queue == turn;
                // Jobs a second: 4 in the mean, five times that in its turn and a twentieth in between. In the last turn
                // large jobs: 2 in the mean, five times that in its turn, and a burst of 2.6 times that.
                double burst = now < lastTurnMillis + BURST_MILLIS ? 2.6 : 1.0;
                double rate = isLarge ? 2.0 * 5 * burst : isLast ? 0.2 : !site.hasTrouble ? 4.0 : queue == turn ? 20.0 : 0.2;
                if (random.nextDouble() >= rate * tickMillis / 1_000) continue;
                String path = "/" + pools.get(queue) + "/" + String.format("%016x", random.nextLong());
                Object job = isLarge ? largeJob() : smallJob();
                Entry entry = site.entries.get(random.nextInt(2));
                clients.submit(() -> {
                    if (site.call(entry, "POST", path, job).status != 200) return;
                    accepted.add(path);
                    if (isLarge) large.add(path);
                });
            }
            if (now - loggedMillis > 5_000) {
                loggedMillis = now;
                site.record.line(counts(site));
            }
            Thread.sleep(tickMillis);
        }
        site.record.line("the traffic has ended; " + counts(site));
        Thread.sleep(FINISH_MILLIS);
        site.record.line(counts(site));
        judge(site);
    }

    // Asks each entry once a second; returns the number of misses one after the other.
    private static AtomicInteger watchReadiness(Site site) {
        AtomicInteger most = new AtomicInteger();
        for (Entry entry : site.entries) {
            Thread thread = new Thread(() -> {
                int misses = 0;
                while (most.get() < 2) {
                    misses = site.isReady(entry) ? 0 : misses + 1;
                    if (misses > most.get()) most.set(misses);
                    try {
                        Thread.sleep(1_000);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
        return most;
    }

    private static Object smallJob() {
        Map<String, Object> step = Json.of("Count", 20L, "Cpu", 2_000L, "MemMb", 256L, "EstimatedMs", 900L);
        return Json.of("Specification", "work 900", "Steps", List.of(step));
    }

    private static Object largeJob() {
        Map<String, Object> first = Json.of("Count", (long) LARGE_TASKS, "Cpu", LARGE_TASK_CPU, "MemMb", 1_024L, "EstimatedMs", 1_300L);
        Map<String, Object> second = new LinkedHashMap<>(first);
        second.put("Dependencies", List.of(0L));
        return Json.of("Specification", "work 1300", "Steps", List.of(first, second));
    }

    private static String counts(Site site) {
        StringBuilder text = new StringBuilder("moves " + site.moves + ", descriptors");
        for (Entry entry : site.entries) text.append(" ").append(entry.name).append(" ").append(Site.descriptors(entry));
        return text.toString();
    }

    // A job is lost that has nothing running for 3 s while there is capacity for it twice over and under half of the
    // capacity of its service is in use. These jobs have no times, and no step of theirs waits once nothing runs.
    private static void judge(Site site) throws Exception {
        Set<String> waiting = new LinkedHashSet<>(large);
        double mostUse = 0;
        long leastFreeTasks = Long.MAX_VALUE;
        long untilMillis = site.record.now() + NOTHING_RUNNING_MILLIS + 500;
        while (site.record.now() < untilMillis) {
            long all = 0;
            long used = 0;
            long freeTasks = 0;
            for (Worker worker : site.workersOf("caisse")) {
                List<Worker.Run> runs = worker.runs();
                // The small jobs have ended long before.
                long workerUse = runs.size() * LARGE_TASK_CPU;
                all += CPU;
                used += workerUse;
                freeTasks += (CPU - workerUse) / LARGE_TASK_CPU;
                for (Worker.Run run : runs) waiting.remove("/caisse/" + run.task.split("\\.")[0]);
            }
            mostUse = Math.max(mostUse, all == 0 ? 1 : (double) used / all);
            leastFreeTasks = Math.min(leastFreeTasks, freeTasks);
            Thread.sleep(20);
        }
        int lost = 0;
        int unanswered = 0;
        Entry other = site.entries.get(1);
        for (String path : waiting) {
            Http.Answer answer = site.call(other, "GET", path, null);
            if (answer.status != 200) unanswered++;
            else if (!"completed".equals(Json.map(answer.body).get("State"))) lost++;
        }
        String figures = String.format("%d of %d large jobs accepted; use of their service at most %.2f, room for %d tasks of 8; %s; ready: %s %s",
            large.size(), accepted.size(), mostUse, leastFreeTasks, counts(site), site.isReady(site.entries.get(0)), site.isReady(other));
        boolean hasRoom = mostUse < 0.5 && leastFreeTasks >= 2 * LARGE_TASKS;
        if (lost > 0 && hasRoom) site.finish(1, lost + " accepted jobs had nothing running for 3 s, 14 s after the traffic; " + figures);
        if (unanswered > 0) site.finish(1, unanswered + " accepted jobs are not told; " + figures);
        site.finish(0, lost + " jobs without a run; " + figures);
    }
}
