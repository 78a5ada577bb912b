import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's list of machines and the orders on them. */
final class Cloud {
    static final class Machine {
        final String name;
        final long cpu;
        String pool;
        String state = "up";
        Worker worker;
        long token;
        long doneWave;

        Machine(String name, String pool, long cpu) {
            this.name = name;
            this.cpu = cpu;
            this.pool = pool;
        }
    }

    interface Gate {
        /** Returns the answer in place of the platform's, or null to go on. */
        Http.Answer before(Http.Call call) throws Exception;
    }

    interface Orders {
        Http.Answer order(Machine machine, Http.Call call) throws Exception;
    }

    final Map<String, Machine> machines = new LinkedHashMap<>();
    final Http http;
    volatile Gate gate = call -> null;
    volatile Orders orders = (machine, call) -> new Http.Answer(409, Json.of("Reason", "busy"));

    Cloud(String host) throws IOException {
        http = new Http(host, 0, this::handle);
    }

    private Http.Answer handle(Http.Call call) throws Exception {
        Http.Answer other = gate.before(call);
        if (other != null) return other;
        if (call.path.equals("/v1/machines")) return list();
        synchronized (this) {
            Machine machine = machines.get((String) call.body.get("Machine"));
            if (machine == null) return new Http.Answer(400, Json.of());
            long token = Long.parseLong(call.header("X-Verbenagauge-Fencing-Token"));
            if (token < machine.token) return new Http.Answer(409, Json.of("Reason", "fence"));
            machine.token = token;
            return orders.order(machine, call);
        }
    }

    private synchronized Http.Answer list() {
        List<Object> listed = new ArrayList<>();
        for (Machine machine : machines.values()) {
            Map<String, Object> row = Json.of(
                "Machine", machine.name, "Pool", machine.pool, "State", machine.state, "Zone", "zone-a",
                "Labels", List.of("a", "r1-1"), "Capacity", Json.of("Cpu", machine.cpu, "MemMb", 64_000L, "Gpu", 0L));
            if (machine.worker != null) row.put("Id", machine.worker.id);
            listed.add(row);
        }
        return new Http.Answer(200, Json.of("Machines", listed, "NextToken", null));
    }
}
