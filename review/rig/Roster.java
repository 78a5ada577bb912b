import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Configs add routes with long names and remove others, and each queue gets one small job. */
final class Roster {
    private static final int ROUTES = 120;
    private static final int CONFIGS = 11;
    private static final int CLIENTS = 12;
    private final Rig rig;

    Roster(Rig rig) {
        this.rig = rig;
    }

    private static String name(int config, int route) {
        return String.format("queue-of-the-auction-hall-in-season-%03d-and-of-lot-%05d", config, route);
    }

    int play() throws Exception {
        for (int i = 0; i < 4; i++) rig.worker("w" + i, "hall", 64_000);
        rig.start(3, Rig.config(1, List.of(Rig.route("tallies", "hall")), Json.map(), "hall"));
        List<String> open = java.util.Collections.synchronizedList(new ArrayList<>());
        for (int c = 1; c <= CONFIGS; c++) {
            int config = rig.hasTrouble ? c : 1;
            List<Map<String, Object>> routes = new ArrayList<>();
            routes.add(Rig.route("tallies", "hall"));
            for (int r = 0; r < ROUTES; r++) routes.add(Rig.route(name(config, r), "hall"));
            rig.store.put("op", "config", Rig.config(1 + c, routes, Json.map(), "hall"));
            Thread.sleep(2_000);
            AtomicInteger next = new AtomicInteger();
            CountDownLatch clients = new CountDownLatch(CLIENTS);
            int round = c;
            open.clear();
            for (int i = 0; i < CLIENTS; i++) {
                Http.daemon(() -> {
                    for (int r = next.getAndIncrement(); r < ROUTES; r = next.getAndIncrement()) {
                        String job = String.format("%016x", 0x100000 + round * 1000 + r);
                        int status = rig.submit(rig.entries.get(r % 3), name(config, r), job, List.of(Rig.step(1, 500, 100, null)), 100);
                        if (status == 200) open.add(name(config, r) + " " + job);
                    }
                    clients.countDown();
                });
            }
            clients.await();
            Rig.await(4_000, () -> rig.count(run -> run.how.equals("done")) >= (long) round * ROUTES);
            rig.note("config " + c + ": " + open.size() + " jobs accepted, tasks done in all: " + rig.count(run -> run.how.equals("done"))
                    + ", largest row refused: " + rig.store.refusedBytes());
        }
        Thread.sleep(14_000);
        int undone = 0;
        for (String one : new ArrayList<>(open)) {
            String[] words = one.split(" ");
            if (!rig.state(rig.entries.get(0), words[0], words[1]).equals("completed")) undone++;
        }
        rig.note(undone + " of the " + open.size() + " jobs of the last config are not completed, 14 s after they were accepted");
        return undone > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
