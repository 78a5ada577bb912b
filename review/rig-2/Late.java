import java.util.List;

/**
 * An order for an upkeep is held up by the platform, and its sender is killed. Its successor must not let another
 * machine of the wave go down meanwhile.
 */
final class Late {
    private static final int MACHINES = 12;
    private static final int OF_WAVE = 6;
    private static final int BEFORE = 2;

    public static void main(String[] args) throws Exception {
        Scene.run(args, Late::play);
    }

    private record Held(String machine, String holder, long token, long at) {
    }

    private static String play(Scene scene) throws Exception {
        scene.configure(1, List.of(Scene.route("grade", "hall")), List.of(Scene.service("hall", false)),
            List.of(Scene.tenant("alpha", 50, 0)));
        Cloud cloud = new Cloud(scene, MACHINES, 1, new Worker.Observer() {
        });
        Entry one = scene.entry("entry-1", cloud.address(), "");
        Entry two = scene.entry("entry-2", cloud.address(), "");
        scene.awaitReady(one);
        scene.awaitReady(two);
        scene.submit(one, "grade", "alpha", Scene.id(1), Scene.job("work=500", Scene.step(2, 2_000, 500)));
        scene.await("a small job completes", 15_000,
            () -> scene.state(two, "grade", "alpha", Scene.id(1)).equals("completed"));
        Held[] held = {null};
        if (scene.hasTrouble) {
            cloud.gate = (machine, holder, token) -> {
                if (cloud.done() < BEFORE || held[0] != null) return false;
                held[0] = new Held(machine, holder, token, scene.record.now());
                return true;
            };
        }
        scene.store.put("op", "wave/1",
            Json.map("Wave", 1L, "Machines", cloud.ids().subList(0, OF_WAVE), "DurationS", 26L, "MaxCount", 1L));
        if (!scene.hasTrouble) {
            scene.holdsWithin(40_000, () -> cloud.done() == OF_WAVE || cloud.broken != null);
            return cloud.broken;
        }
        scene.await("an order is held up", 40_000, () -> held[0] != null);
        Thread.sleep(100);
        Entry owner = held[0].holder().equals("entry-1") ? one : two;
        Entry other = owner == one ? two : one;
        owner.kill();
        scene.record.line(owner.name + " is killed");
        // A client hands in a job that only the worker of this machine can do.
        scene.submit(other, "grade", "alpha", Scene.id(2), Scene.job("work=9000",
            Scene.step(1, 2_000, 9_000, "Requirements", "kind" + held[0].machine().substring(1))));
        // The platform carries the order out 2 to 12 s after it came.
        scene.holdsWithin(12_000 - (scene.record.now() - held[0].at()),
            () -> scene.record.now() - held[0].at() > 2_000 && cloud.down() > 0);
        scene.record.line("cloud: the held-up order is carried out now");
        cloud.carryOut(held[0].machine(), held[0].holder(), held[0].token(), 1);
        return cloud.broken;
    }
}
