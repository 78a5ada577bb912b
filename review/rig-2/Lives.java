import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The workers of a service crash again and again, and new ones come. The owner must not use up its descriptors with
 * channels to workers that have ended.
 */
final class Lives {
    private static final int WORKERS = 8;
    private static final int TASKS = 128;
    private static final int JOBS = WORKERS * 64 / TASKS;
    private static final int CRASHES = 12;
    private static final long CRASH_MILLIS = 2_000;
    private static final long SILENCE_MILLIS = 4_500;
    private static final long FINISH_MILLIS = 14_000;

    public static void main(String[] args) throws Exception {
        Scene.run(args, Lives::play);
    }

    private static String play(Scene scene) throws Exception {
        scene.record.isBrief = true;
        scene.configure(1, List.of(Scene.route("tally", "hall")), List.of(Scene.service("hall", false)),
            List.of(Scene.tenant("alpha", 100, 0)));
        Map<String, Integer> doneByJob = new HashMap<>();
        Worker.Observer observer = new Worker.Observer() {
            @Override
            public void ended(Worker worker, Worker.Run run, String how) {
                if (how.equals("done")) doneByJob.merge(run.job(), 1, Integer::sum);
            }
        };
        List<Worker> workers = begin(scene, observer, 0);
        Entry one = scene.entry("entry-1", "", "");
        Entry two = scene.entry("entry-2", "", "");
        scene.awaitReady(one);
        scene.awaitReady(two);
        List<String> accepted = new ArrayList<>();
        for (int life = 1; true; life++) {
            for (int i = 0; i < JOBS; i++) {
                String id = Scene.id(life * 1_000 + i);
                if (scene.submit(i % 2 == 0 ? one : two, "tally", "alpha", id,
                    Scene.job("work=600", Scene.step(TASKS, 1_000, 600))).status() == 200) {
                    accepted.add(id);
                }
            }
            boolean areDone = scene.holdsWithin(6_000, () -> {
                synchronized (Worker.FLOOR) {
                    return accepted.stream().allMatch(it -> doneByJob.getOrDefault(it, 0) >= TASKS);
                }
            });
            for (Entry entry : scene.entries) {
                if (!entry.isAlive()) return "entry " + entry.name + " has ended by itself with code " + entry.exitCode();
                scene.record.line(entry.name + " holds " + entry.descriptors() + " descriptors; all done: " + areDone);
            }
            if (life > CRASHES) break;
            if (!scene.hasTrouble) continue;
            for (Worker worker : workers) {
                worker.leave("crashes");
                Thread silence = new Thread(() -> {
                    try {
                        Thread.sleep(SILENCE_MILLIS);
                        scene.store.put("servers", worker.id, null);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                silence.setDaemon(true);
                silence.start();
            }
            Thread.sleep(CRASH_MILLIS);
            workers = begin(scene, observer, life);
        }
        Thread.sleep(FINISH_MILLIS);
        List<String> waiting = new ArrayList<>(accepted);
        for (long until = scene.record.now() + 3_000; scene.record.now() < until; Thread.sleep(100)) {
            synchronized (Worker.FLOOR) {
                boolean isHalfFree = Worker.ALL.stream().mapToLong(it -> it.cpu - 2_000L * it.running.size()).sum() > 0;
                waiting.removeIf(it ->
                    doneByJob.getOrDefault(it, 0) >= TASKS || Scene.runs(it) > 0 || !isHalfFree);
            }
        }
        scene.record.line(waiting.size() + " of " + accepted.size() + " accepted jobs have waited for 3 s");
        if (waiting.isEmpty()) return null;
        return "LOST: for 3 s, " + FINISH_MILLIS + " ms after the end of the traffic, nothing of " + waiting.size()
            + " accepted jobs runs, such as " + waiting.get(0) + ", shown as "
            + scene.state(two, "tally", "alpha", waiting.get(0)) + ", and " + Worker.ALL.size() + " workers are empty";
    }

    private static List<Worker> begin(Scene scene, Worker.Observer observer, int life) throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) {
            Worker worker =
                new Worker("w" + i + "-" + life, "m" + i, "hall", 64_000, 131_072, "a", scene.record, observer);
            scene.list(worker);
            workers.add(worker);
        }
        return workers;
    }
}
