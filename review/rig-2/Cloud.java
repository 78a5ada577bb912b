import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's machines (PROTOCOL, Machines), of one service, and their upkeep. */
final class Cloud {
    private static final long MAINTENANCE_MILLIS = 2_000;

    private static final class Machine {
        String state = "up";
        Worker worker;
        long highestToken;
        int lives = 1;
        final List<Long> waves = new ArrayList<>();
    }

    /** Told of orders before they are carried out. */
    interface Gate {
        /** Whether the order on [machine] gets no answer and is carried out later by {@link Cloud#carryOut}. */
        boolean holdsUp(String machine, String holder, long token);
    }

    private final Scene scene;
    private final Worker.Observer observer;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Web web;
    private final int maxCount;
    volatile Gate gate = (machine, holder, token) -> false;
    volatile String broken;

    Cloud(Scene scene, int count, int maxCount, Worker.Observer observer) throws Exception {
        this.scene = scene;
        this.observer = observer;
        this.maxCount = maxCount;
        for (int i = 1; i <= count; i++) machines.put("m-" + i, new Machine());
        for (String id : machines.keySet()) join(id);
        web = new Web(this::handle);
    }

    String address() {
        return web.address();
    }

    List<Object> ids() {
        return new ArrayList<>(machines.keySet());
    }

    synchronized Worker worker(String id) {
        return machines.get(id).worker;
    }

    /** Number of machines that are down for their upkeep, which they have for one wave only. */
    synchronized int down() {
        return (int) machines.values().stream().filter(it -> it.state.equals("upkeep")).count();
    }

    synchronized int done() {
        return (int) machines.values().stream().filter(it -> !it.waves.isEmpty()).count();
    }

    private void join(String id) throws Exception {
        Machine machine = machines.get(id);
        Worker worker = new Worker("w" + id.substring(1) + "-" + machine.lives++, id, "hall", 64_000, 131_072,
            "kind" + id.substring(1), scene.record, observer);
        machine.worker = worker;
        machine.state = "up";
        scene.list(worker);
    }

    private Web.Reply handle(Web.Ask ask) throws Exception {
        if (ask.path().equals("/v1/machines")) return list();
        if (!ask.path().equals("/v1/machine-upkeep")) return new Web.Reply(400, "{}");
        Map<String, Object> call = Json.object(ask.body());
        String id = Json.string(call.get("Machine"));
        String holder = ask.header("X-Verbenagauge-Lease-Holder");
        long token = Long.parseLong(ask.header("X-Verbenagauge-Fencing-Token"));
        long wave = Json.number(call.get("Wave"));
        scene.record.line("cloud: upkeep of " + id + " by " + holder + ", token " + token);
        if (gate.holdsUp(id, holder, token)) {
            scene.record.line("cloud: the order on " + id + " gets no answer for now");
            Thread.sleep(15_000);
            return null;
        }
        return carryOut(id, holder, token, wave);
    }

    private synchronized Web.Reply list() {
        List<Object> list = new ArrayList<>();
        machines.forEach((id, machine) -> {
            Map<String, Object> entry = Json.map("Machine", id, "Pool", "hall", "State", machine.state, "Zone", "zone-a",
                "Labels", List.of("kind" + id.substring(1), "r1-1"), "Capacity", Json.map("Cpu", 64_000L, "MemMb", 131_072L));
            if (machine.worker != null) entry.put("Id", machine.worker.id);
            list.add(entry);
        });
        return new Web.Reply(200, Json.write(Json.map("Machines", list)));
    }

    /** Carries an order out, now or late. */
    synchronized Web.Reply carryOut(String id, String holder, long token, long wave) {
        Machine machine = machines.get(id);
        if (token < machine.highestToken) return refused(id, "fence");
        machine.highestToken = token;
        if (machine.waves.contains(wave)) return new Web.Reply(200, "{}");
        if (!machine.state.equals("up")) return refused(id, "busy");
        if (down() >= maxCount && broken == null) {
            broken = "LIMIT: the upkeep of " + id + " on the order of " + holder + " with token " + token
                + " begins while " + down() + " machines of the wave are down, and MaxCount is " + maxCount;
        }
        scene.record.line("cloud: the upkeep of " + id + " begins, by " + holder + " with token " + token + "; "
            + down() + " others are down");
        machine.state = "upkeep";
        machine.waves.add(wave);
        Worker worker = machine.worker;
        machine.worker = null;
        worker.leave("ends for the upkeep of " + id);
        scene.store.put("servers", worker.id, null);
        Thread back = new Thread(() -> {
            try {
                Thread.sleep(MAINTENANCE_MILLIS);
                synchronized (this) {
                    join(id);
                }
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        back.setDaemon(true);
        back.start();
        return new Web.Reply(200, "{}");
    }

    private Web.Reply refused(String id, String reason) {
        scene.record.line("cloud: the order on " + id + " is refused: " + reason);
        return new Web.Reply(409, Json.write(Json.map("Reason", reason)));
    }
}
