import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for the machines' API (PROTOCOL, Machines): a move ends the worker, and a new one joins the pool later. */
final class Machines {
    private static final long MIGRATION_MILLIS = 1_500;

    private static final class Machine {
        final String id;
        final String rack;
        String pool;
        String state = "up";
        long token;
        Worker worker;

        Machine(String id, String rack, String pool) {
            this.id = id;
            this.rack = rack;
            this.pool = pool;
        }
    }

    private final Rig rig;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final String standby;
    private int lives;
    int moves;

    Machines(Rig rig, String standby) {
        this.rig = rig;
        this.standby = standby;
    }

    /** Adds [count] machines of [pool]; those of the standby pool are off. */
    void add(String pool, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Machine machine = new Machine("m-" + machines.size(), "r1-" + machines.size() / 4, pool);
            machines.put(machine.id, machine);
            if (!pool.equals(standby)) begin(machine);
        }
    }

    private void begin(Machine machine) throws IOException {
        machine.worker = new Worker("i-" + ++lives, machine.id, machine.pool, 64_000, rig.lock, rig);
        machine.worker.rack = machine.rack;
        rig.workers.add(machine.worker);
    }

    Http open() throws IOException {
        return new Http(this::handle);
    }

    private synchronized Http.Answer handle(Http.Call call) {
        if (call.path().equals("/v1/machines")) return list();
        Map<String, Object> order = Json.object(call.body());
        Machine machine = machines.get((String) order.get("Machine"));
        if (machine == null || !call.path().equals("/v1/machine-move")) return new Http.Answer(400, "{}");
        long token = Long.parseLong(call.headers().get("x-verbenagauge-fencing-token"));
        if (token < machine.token) return new Http.Answer(409, "{\"Reason\":\"fence\"}");
        machine.token = token;
        String pool = (String) order.get("Pool");
        if (machine.pool.equals(pool)) return new Http.Answer(200, "{}");
        if (!machine.state.equals("up")) return new Http.Answer(409, "{\"Reason\":\"busy\"}");
        move(machine, pool);
        return new Http.Answer(200, "{}");
    }

    private Http.Answer list() {
        List<Object> listed = new ArrayList<>();
        for (Machine machine : machines.values()) {
            listed.add(Json.map("Machine", machine.id, "Pool", machine.pool, "State", machine.state, "Zone", "zone-a", "Labels",
                    List.of("a", machine.rack), "Capacity", Json.map("Cpu", 64_000, "MemMb", 131_072, "Gpu", 0), "Id",
                    machine.worker == null ? null : machine.worker.id));
        }
        return new Http.Answer(200, Json.write(Json.map("Machines", listed)));
    }

    private void move(Machine machine, String pool) {
        moves++;
        machine.pool = pool;
        machine.state = "moving";
        Worker worker = machine.worker;
        machine.worker = null;
        if (worker != null) {
            synchronized (rig.lock) {
                worker.leave();
            }
            rig.workers.remove(worker);
            rig.store.drop("servers", worker.id);
        }
        Http.daemon(() -> {
            try {
                Thread.sleep(MIGRATION_MILLIS);
                arrive(machine);
            } catch (InterruptedException | IOException e) {
                System.err.println("stand-in: " + e);
            }
        });
    }

    private synchronized void arrive(Machine machine) throws IOException {
        machine.state = "up";
        if (machine.pool.equals(standby)) return;
        begin(machine);
        rig.store.put("servers", machine.worker.id, machine.worker.listed());
    }
}
