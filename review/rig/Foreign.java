import java.util.List;
import java.util.Map;

/** A tenant asks for, and cancels, a job of another tenant under its own route with its own key. */
final class Foreign {
    private final Rig rig;

    Foreign(Rig rig) {
        this.rig = rig;
    }

    private Http.Answer callAsOther(String method, String jobId) {
        return Http.call(rig.entries.get(1).callers, method, "/quotes/" + jobId,
                Map.of("Host", Rig.ROUTE_HOST, "X-Verbenagauge-Credential", "key-2"), "", 3_000);
    }

    int play() throws Exception {
        for (int i = 0; i < 2; i++) rig.worker("hall-" + i, "hall", 64_000);
        for (int i = 0; i < 2; i++) rig.worker("desk-" + i, "desk", 64_000);
        Map<String, Object> config =
                Rig.config(1, List.of(Rig.route("tallies", "hall"), Rig.route("quotes", "desk")), Json.map(), "hall", "desk");
        config.put("Tenants", List.of(Json.map("Name", "t1", "ApiKeys", List.of("key-1"), "Weight", 100),
                Json.map("Name", "t2", "ApiKeys", List.of("key-2"), "Weight", 100)));
        rig.start(3, config);
        String job = "00000000000000a1";
        rig.note("t1 POST tallies/" + job + ": " + rig.submit(rig.entries.get(0), "tallies", job, List.of(Rig.step(1, 1_000, 20_000, null)), 20_000));
        Thread.sleep(1_000);
        String asked = rig.hasTrouble ? job : "00000000000000a2";
        Http.Answer state = callAsOther("GET", asked);
        rig.note("t2 GET quotes/" + asked + ": " + state.status() + " " + state.body());
        Http.Answer cancelled = callAsOther("DELETE", asked);
        rig.note("t2 DELETE quotes/" + asked + ": " + cancelled.status());
        Thread.sleep(2_000);
        String own = rig.state(rig.entries.get(0), "tallies", job);
        rig.note("t1 GET tallies/" + job + ": " + own);
        return own.equals("cancelled") || state.status() == 200 ? Rig.BROKEN : Rig.HELD;
    }
}
