import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;

/** Clients that hand in small jobs of two tasks of 300 ms, each on its own, and ask for them afterwards. */
final class Small {
    private final Rig rig;
    private final String route;
    private final List<String> accepted = new ArrayList<>();
    private int counter;

    Small(Rig rig, String route) {
        this.rig = rig;
        this.route = route;
    }

    /** Hands in a job every second for [seconds]; each is tried at up to four entries, as long as there is no answer. */
    void send(int seconds) throws InterruptedException {
        for (int i = 0; i < seconds; i++) {
            int number = ++counter;
            Http.daemon(() -> submit(number));
            Thread.sleep(1_000);
        }
    }

    private void submit(int number) {
        String job = String.format("%016x", 0xd000 + number);
        for (int attempt = 0; attempt < 4; attempt++) {
            Entry entry = rig.entries.get((number + attempt) % rig.entries.size());
            int status = rig.submit(entry, route, job, List.of(Rig.step(2, 1_000, 300, null)), 300);
            if (status == 200) {
                synchronized (accepted) {
                    accepted.add(job);
                }
            }
            if (status == 200 || status == 429 || status == 503) return;
        }
    }

    int count() {
        synchronized (accepted) {
            return accepted.size();
        }
    }

    /** States of all jobs that were accepted, asked for at every entry until one answers. */
    Map<String, Integer> states() throws InterruptedException {
        List<String> jobs;
        synchronized (accepted) {
            jobs = new ArrayList<>(accepted);
        }
        Map<String, Integer> states = new TreeMap<>();
        CountDownLatch open = new CountDownLatch(jobs.size());
        for (String job : jobs) {
            Http.daemon(() -> {
                String state = "no answer";
                for (Entry entry : rig.entries) {
                    state = rig.state(entry, route, job);
                    if (state.matches("[a-z]+")) break;
                }
                synchronized (states) {
                    states.merge(state, 1, Integer::sum);
                }
                open.countDown();
            });
        }
        open.await();
        return states;
    }

    boolean areDone(Map<String, Integer> states) {
        return states.getOrDefault("completed", 0) == states.values().stream().mapToInt(it -> it).sum();
    }
}
