import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The policy of a queue allows only workers that already run something, in a pool of more than 30. */
final class Advice {
    private final Rig rig;
    private final Set<String> allowed = new TreeSet<>();
    private int calls;
    private int callsWithAllowed;

    Advice(Rig rig) {
        this.rig = rig;
    }

    private synchronized Http.Answer advise(Http.Call call) throws InterruptedException {
        Map<String, Object> asked = Json.object(call.body());
        List<?> workers = (List<?>) asked.get("Workers");
        calls++;
        if (workers.stream().anyMatch(allowed::contains)) callsWithAllowed++;
        Thread.sleep(2 + workers.size());
        List<Object> rows = new ArrayList<>();
        for (Object worker : workers) if (allowed.contains(worker)) rows.add(List.of(worker, "ticket-" + worker));
        return new Http.Answer(200, Json.write(Json.map("Allowed", rows, "ValidityMs", 5_000)));
    }

    int play() throws Exception {
        Http advisor = new Http(this::advise);
        rig.advisor = advisor.address();
        for (int i = 0; i < 44; i++) rig.worker(String.format("w%02d", i), "hall", 64_000);
        Map<String, Object> advised = Rig.route("quotes", "hall");
        advised.put("Advisor", Json.map("DecisionMs", 2, "PerWorkerMs", 1, "ValidityMs", 5_000));
        rig.start(3, Rig.config(1, List.of(Rig.route("tallies", "hall"), advised), Json.map(), "hall"));
        Map<String, Object> lasting = Rig.step(4, 1_000, 300, null);
        lasting.put("AntiAffinity", 1);
        lasting.put("LongRunning", true);
        int status = rig.submit(rig.entries.get(0), "tallies", "00000000000000a1", List.of(lasting), -1);
        rig.note("POST of 4 lasting tasks of one core, one on a worker: " + status);
        if (!Rig.await(10_000, () -> rig.count(run -> true) == 4)) return Rig.NOT_RUN;
        Thread.sleep(2_000);
        synchronized (rig.lock) {
            for (Worker worker : rig.workers) if (!rig.hasTrouble || !worker.running.isEmpty()) allowed.add(worker.id);
        }
        rig.note("the policy of quotes allows " + allowed);
        int other = rig.submit(rig.entries.get(1), "quotes", "00000000000000a2", List.of(Rig.step(1, 1_000, 300, null)), 300);
        rig.note("POST quotes/00000000000000a2: " + other);
        Rig.await(30_000, () -> rig.state(rig.entries.get(1), "quotes", "00000000000000a2").equals("completed"));
        String state = rig.state(rig.entries.get(1), "quotes", "00000000000000a2");
        rig.note("GET quotes/00000000000000a2: " + state + "; " + calls + " calls for advice, "
                + callsWithAllowed + " of them named a worker that the policy allows");
        return state.equals("completed") ? Rig.HELD : Rig.BROKEN;
    }
}
