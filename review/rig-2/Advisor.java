import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The advice on placement (PROTOCOL, Running tasks, /v1/advise): one call at a time, in turn. */
final class Advisor {
    static final long DECISION_MILLIS = 20;
    static final long PER_WORKER_MILLIS = 1;
    static final long VALIDITY_MILLIS = 3_000;
    private final Record record;
    private final Predicate<String> isAllowed;
    private final Web web;
    private final Object turn = new Object();

    Advisor(Record record, Predicate<String> isAllowed) throws Exception {
        this.record = record;
        this.isAllowed = isAllowed;
        web = new Web(this::handle);
    }

    String address() {
        return web.address();
    }

    static boolean isTicket(String ticket, String task, String workerId) {
        return ticket.equals("t-" + task.substring(0, task.lastIndexOf('.')) + "-" + workerId);
    }

    private Web.Reply handle(Web.Ask ask) throws Exception {
        Map<String, Object> call = Json.object(ask.body());
        String step = Json.string(call.get("Step"));
        List<Object> workers = Json.list(call.get("Workers"));
        List<Object> allowed = new ArrayList<>();
        synchronized (turn) {
            Thread.sleep(DECISION_MILLIS + PER_WORKER_MILLIS * workers.size());
        }
        for (Object id : workers) if (isAllowed.test((String) id)) allowed.add(List.of(id, "t-" + step + "-" + id));
        record.line("advisor: " + step + " on " + workers.size() + " workers " + workers + " -> " + Json.write(allowed));
        return new Web.Reply(200, Json.write(Json.map("Allowed", allowed, "ValidityMs", VALIDITY_MILLIS)));
    }
}
