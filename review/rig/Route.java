import java.util.List;

/** A route is added while the owner's channel for the operator's rows has gone silent. */
final class Route {
    private final Rig rig;

    Route(Rig rig) {
        this.rig = rig;
    }

    int play() throws Exception {
        if (Boolean.getBoolean("planned")) return playPlanned();
        for (int i = 0; i < 4; i++) rig.worker("w" + i, "hall", 64_000);
        rig.start(3, Rig.config(1, List.of(Rig.route("tallies", "hall")), Json.map(), "hall"));
        Thread.sleep(2_000);
        Entry owner = rig.entries.get(rig.store.leader());
        Entry asked = rig.entries.get((rig.store.leader() + 1) % rig.entries.size());
        if (rig.hasTrouble) {
            Rig.await(2_000, () -> owner.store.channels.stream().anyMatch(this::isForConfig));
            owner.store.channels.stream().filter(this::isForConfig).forEach(channel -> {
                channel.isSilent = true;
                rig.note("the open channel of " + owner.id + " to the store with " + channel.open + " goes silent");
            });
        }
        rig.store.put("op", "config", Rig.config(5, List.of(Rig.route("tallies", "hall"), Rig.route("quotes", "hall")), Json.map(), "hall"));
        rig.note("the operator's config 5 with the new route quotes is confirmed");
        String job = "00000000000000c1";
        int[] status = new int[1];
        Rig.await(2_000, () -> {
            status[0] = rig.submit(asked, "quotes", job, List.of(Rig.step(2, 1_000, 500, null)), 500);
            return status[0] != 404;
        });
        rig.note("POST quotes/" + job + " at " + asked.id + ": " + status[0]);
        if (status[0] != 200) return Rig.NOT_RUN;
        // Long after the bounds of config (ConfigApplyMs 2,000) and of open jobs (finish_s 14).
        Rig.await(20_000, () -> rig.state(asked, "quotes", job).equals("completed"));
        int later = rig.submit(asked, "quotes", "00000000000000c2", List.of(Rig.step(2, 1_000, 500, null)), 500);
        rig.note("POST of another job on quotes: " + later);
        boolean isServed = Rig.await(10_000, () -> rig.state(asked, "quotes", "00000000000000c2").equals("completed"));
        rig.note("GET of the other job: " + rig.state(asked, "quotes", "00000000000000c2"));
        String state = rig.state(asked, "quotes", job);
        long starts = rig.count(run -> run.jobId().equals(job));
        rig.note("GET quotes/" + job + ": " + state + "; " + starts + " starts of its tasks; the leader is "
                + rig.entries.get(rig.store.leader()).id + ", before it was " + owner.id);
        if (!isServed) return Rig.NOT_RUN;
        return state.equals("completed") ? Rig.HELD : Rig.BROKEN;
    }

    /** Planned work only: a route is removed, the owner is stopped and started, and the route comes back. */
    private int playPlanned() throws Exception {
        List<java.util.Map<String, Object>> both = List.of(Rig.route("tallies", "hall"), Rig.route("quotes", "hall"));
        for (int i = 0; i < 4; i++) rig.worker("w" + i, "hall", 64_000);
        rig.start(3, Rig.config(1, both, Json.map(), "hall"));
        Entry asked = rig.entries.get((rig.store.leader() + 1) % rig.entries.size());
        Entry owner = rig.entries.get(rig.store.leader());
        String job = "00000000000000c1";
        int status = rig.submit(asked, "quotes", job, List.of(Rig.step(2, 1_000, 8_000, null), Rig.step(2, 1_000, 500, 0)), 8_000, 500);
        rig.note("POST quotes/" + job + " of two steps, 8 s and 0.5 s: " + status);
        Thread.sleep(1_000);
        if (rig.hasTrouble) {
            rig.store.put("op", "config", Rig.config(5, List.of(Rig.route("tallies", "hall")), Json.map(), "hall"));
            rig.note("config 5 without quotes is confirmed");
        }
        Thread.sleep(1_000);
        rig.note("SIGTERM for " + owner.id);
        owner.terminate();
        owner.start();
        Thread.sleep(1_000);
        rig.store.put("op", "config", Rig.config(7, both, Json.map(), "hall"));
        rig.note("config 7 with quotes is confirmed; the leader is " + rig.entries.get(rig.store.leader()).id);
        Rig.await(30_000, () -> rig.state(asked, "quotes", job).equals("completed"));
        String state = rig.state(asked, "quotes", job);
        rig.note("GET quotes/" + job + ": " + state + "; starts in step 0: " + rig.count(run -> run.step() == 0) + ", in step 1: "
                + rig.count(run -> run.step() == 1));
        return state.equals("completed") ? Rig.HELD : Rig.BROKEN;
    }

    private boolean isForConfig(Http.Channel channel) {
        return channel.open.startsWith("/v1/rows-feed?") && channel.open.contains("Table=op&");
    }
}
