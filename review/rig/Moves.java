import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The demand of four queues rises and falls by turns, so that machines change their pools. */
final class Moves {
    private static final String[] POOLS = {"hall", "lots", "desk", "cash"};
    private static final int TRAFFIC_S = 60;
    private static final long FINISH_MILLIS = 14_000;
    private final Rig rig;
    private final Map<String, String> accepted = new ConcurrentHashMap<>();
    private final AtomicInteger counter = new AtomicInteger();
    private final Map<Integer, AtomicInteger> statuses = new java.util.concurrent.ConcurrentSkipListMap<>();

    Moves(Rig rig) {
        this.rig = rig;
    }

    /** Workers by service and rack, where all of them joined the pool over five seconds ago. */
    private Map<String, List<Worker>> racks() {
        Map<String, List<Worker>> racks = new TreeMap<>();
        for (Worker worker : rig.workers) racks.computeIfAbsent(worker.service + " " + worker.rack, key -> new ArrayList<>()).add(worker);
        racks.values().removeIf(workers -> workers.stream().anyMatch(worker -> Rig.millis() - worker.begunAt < 5_000));
        return racks;
    }

    private void submit(String pool) {
        int number = counter.incrementAndGet();
        String job = String.format("%016x", 0xd0000 + number);
        // A call without an answer is made again at another entry.
        for (int attempt = 0; attempt < 3; attempt++) {
            Entry entry = rig.entries.get((number + attempt) % rig.entries.size());
            int status = rig.submit(entry, "q-" + pool, job, List.of(Rig.step(6, 3_500, 640, null)), 640);
            statuses.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
            if (status == 200) accepted.put(job, pool);
            if (status != 0) return;
        }
    }

    /** States of the accepted jobs as an entry shows them that answers. */
    private Map<String, Integer> states() throws InterruptedException {
        Entry answering = rig.entries.get((rig.store.leader() + 1) % rig.entries.size());
        Map<String, Integer> states = new TreeMap<>();
        ExecutorService clients = Executors.newFixedThreadPool(16, task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        accepted.forEach((job, pool) -> clients.execute(() -> {
            String state = rig.state(answering, "q-" + pool, job);
            synchronized (states) {
                states.merge(state, 1, Integer::sum);
                if (!state.equals("completed")) states.merge(state + " of " + pool, 1, Integer::sum);
            }
        }));
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        return states;
    }

    int play() throws Exception {
        Machines machines = new Machines(rig, "tools");
        for (String pool : POOLS) machines.add(pool, 16);
        machines.add("tools", 16);
        rig.machines = machines.open().address();
        List<Map<String, Object>> routes = new ArrayList<>();
        List<Object> services = new ArrayList<>();
        for (String pool : POOLS) {
            routes.add(Rig.route("q-" + pool, pool));
            services.add(Json.map("Name", pool));
        }
        services.add(Json.map("Name", "tools", "Standby", true));
        Map<String, Object> config = Rig.config(1, routes, Json.map());
        config.put("Services", services);
        rig.start(3, config);
        long sinceMillis = Rig.millis();
        double mean = 18;
        double[] owed = new double[POOLS.length];
        long noted = 0;
        while (Rig.millis() < sinceMillis + TRAFFIC_S * 1_000L) {
            Thread.sleep(20);
            long atMillis = Rig.millis() - sinceMillis;
            for (int i = 0; i < POOLS.length; i++) {
                boolean isItsTurn = atMillis / 4_000 % POOLS.length == i;
                owed[i] += mean * (!rig.hasTrouble ? 1 : isItsTurn ? 3.85 : 0.05) * 0.02;
                String pool = POOLS[i];
                for (; owed[i] >= 1; owed[i]--) Http.daemon(() -> submit(pool));
            }
            if (atMillis / 5_000 > noted) {
                noted = atMillis / 5_000;
                rig.note("moves " + machines.moves + ", open descriptors " + rig.entries.stream().map(Entry::descriptors).toList()
                        + ", leader " + rig.store.leader() + ", answers " + statuses);
            }
        }
        Thread.sleep(2_000);
        Map<String, List<Worker>> racks = racks();
        List<String> chosen = new ArrayList<>();
        for (Map.Entry<String, List<Worker>> one : racks.entrySet()) {
            // With trouble, racks whose workers have had no call since they joined the pool; else any.
            if (chosen.size() < 5 && (!rig.hasTrouble || one.getValue().stream().allMatch(worker -> worker.calls == 0))) chosen.add(one.getKey());
        }
        int last = 0;
        for (String one : chosen) {
            String[] words = one.split(" ");
            Map<String, Object> step = Rig.step(2, 1_000, 500, null);
            step.put("Requirements", words[1]);
            String job = String.format("%016x", 0xf0000 + ++last);
            int status = rig.submit(rig.entries.get((rig.store.leader() + 1) % 3), "q-" + words[0], job, List.of(step), 500);
            rig.note("POST " + job + " of 2 tasks of one core on " + words[0] + ", to run in the rack " + words[1] + " with "
                    + racks.get(one).size() + " workers of that service, idle since they joined: " + status);
            if (status == 200) accepted.put(job, words[0]);
        }
        Thread.sleep(FINISH_MILLIS);
        Map<String, Integer> states = states();
        rig.note(accepted.size() + " jobs were accepted; " + FINISH_MILLIS + " ms after the last: " + states);
        synchronized (rig.lock) {
            for (String pool : POOLS) {
                rig.note("service " + pool + ": " + rig.workers.stream().filter(worker -> worker.service.equals(pool)).count()
                        + " workers of 64 cores, tasks that run there: "
                        + rig.workers.stream().filter(worker -> worker.service.equals(pool)).mapToInt(worker -> worker.running.size()).sum());
            }
        }
        int leader = rig.store.leader();
        for (Entry entry : rig.entries) {
            rig.note(entry.id + (entry == rig.entries.get(leader) ? ", the leader" : "") + ": " + entry.descriptors()
                    + " open descriptors, ready " + entry.isReady() + ", lines with 'Too many open files': "
                    + entry.log("Too many open files").size());
        }
        AtomicInteger unanswered = new AtomicInteger();
        for (int round = 0; round < 5; round++) {
            CountDownLatch open = new CountDownLatch(rig.entries.size());
            for (Entry entry : rig.entries) {
                Http.daemon(() -> {
                    if (rig.state(entry, "q-hall", "00000000000d0001").equals("no answer")) unanswered.incrementAndGet();
                    open.countDown();
                });
            }
            open.await();
        }
        rig.note("GET for the state of a job, five at each of three entries: " + unanswered + " without an answer in 3,000 ms");
        return states.getOrDefault("completed", 0) == accepted.size() ? Rig.HELD : Rig.BROKEN;
    }
}
