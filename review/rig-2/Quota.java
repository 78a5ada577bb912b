import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The owner is killed while a worker is cut off and runs on; what runs there still counts for its tenant. */
final class Quota {
    private static final long MAX_CPU = 40_000;
    private static final long TASK_CPU = 4_000;
    private static final long CUT_MILLIS = 5_400;

    public static void main(String[] args) throws Exception {
        Scene.run(args, Quota::play);
    }

    private static String play(Scene scene) throws Exception {
        scene.configure(1, List.of(Scene.route("ledger", "hall"), Scene.route("tally", "counter")),
            List.of(Scene.service("hall", false), Scene.service("counter", false)),
            List.of(Scene.tenant("alpha", 5, MAX_CPU)));
        String[] broken = {null};
        Worker.Observer observer = new Worker.Observer() {
            @Override
            public void started(Worker worker, Worker.Run run) {
                long used = 0;
                for (Worker other : Worker.ALL) used += TASK_CPU * other.running.size();
                scene.record.line("tenant alpha has " + used + " running");
                if (used > MAX_CPU * 1.1 + TASK_CPU && broken[0] == null) {
                    broken[0] = "QUOTA: the start of " + run.task + " on " + worker.id + " brings what alpha has running to "
                        + used + ", above " + MAX_CPU + " x 1.1 and one task of " + TASK_CPU;
                }
            }
        };
        Worker hall = new Worker("w1", "m1", "hall", 64_000, 131_072, "a", scene.record, observer);
        scene.list(hall);
        for (int i = 2; i <= 6; i++) {
            scene.list(new Worker("w" + i, "m" + i, "counter", 64_000, 131_072, "a", scene.record, observer));
        }
        Entry one = scene.entry("entry-1", "", "");
        Entry two = scene.entry("entry-2", "", "");
        scene.awaitReady(one);
        scene.awaitReady(two);
        // Ten tasks of 4 cores fill the limit of the tenant of 40 cores.
        scene.submit(one, "ledger", "alpha", Scene.id(1),
            Scene.job("lasts", Scene.step(10, TASK_CPU, 900, "LongRunning", true)));
        scene.await("the tenant is at its limit", 10_000, () -> Scene.runs(Scene.id(1)) == 10);
        Entry[] owner = {null};
        scene.await("the owner is known", 5_000, () -> (owner[0] = scene.owner()) != null);
        Entry other = owner[0] == one ? two : one;
        long cutAt = scene.record.now();
        if (scene.hasTrouble) {
            scene.record.line("w1 is cut off and runs on, and " + owner[0].name + " is killed");
            hall.isSilent = true;
            Thread.sleep(200);
            owner[0].kill();
            scene.await("the other entry takes over", 4_500, () -> scene.owner() == other);
        }
        scene.submit(other, "tally", "alpha", Scene.id(2), Scene.job("work=600", Scene.step(10, TASK_CPU, 600)));
        Thread.sleep(Math.max(0, CUT_MILLIS - (scene.record.now() - cutAt)));
        scene.record.line("w1 is reached again");
        hall.isSilent = false;
        Thread.sleep(3_000);
        return broken[0];
    }
}
