import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store (PROTOCOL, The platform's metadata store). Linearizable under one lock. */
final class Store {
    private static final int ROW_BYTES = 65_536;
    private static final int MOST_ROWS = 500;
    private static final int MOST_ENTRIES = 100;
    private static final int CALL_BYTES = 1_000_000;

    private record Row(String table, String part, String key, String value, long version) {
        Map<String, Object> wire() {
            return Json.map("Table", table, "part", part, "Key", key, "Value", value, "RowVersion", version, "Deleted",
                    value == null ? true : null);
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version;
    /** Writes whose answers are lost: they are carried out this much later, if their condition still holds; 0: none. */
    volatile long lateMillis;
    /** Text that a late write holds. */
    volatile String lateText = "";
    /** Writes of all entries while some are late, and those of them that are late. */
    final java.util.concurrent.atomic.AtomicInteger writesMeanwhile = new java.util.concurrent.atomic.AtomicInteger();
    final java.util.concurrent.atomic.AtomicInteger lateMeanwhile = new java.util.concurrent.atomic.AtomicInteger();
    /** Number of writes that were late, and the status that each had. */
    final List<String> late = new ArrayList<>();
    /** Largest value that was refused because a row holds at most RowBytes. */
    private int refusedBytes;
    /** Position of the entry that last wrote under a condition. */
    private volatile int leader = -1;

    /** A port for the entry [index], so that its channels can be told from others. */
    Http port(int index) throws IOException {
        return new Http(call -> handle(call, index));
    }

    int leader() {
        return leader;
    }

    synchronized int refusedBytes() {
        return refusedBytes;
    }

    /** Writes as the operator or a worker does, and returns when it is confirmed. */
    synchronized void put(String table, String key, Object json) {
        String value = Base64.getEncoder().encodeToString(Json.write(json).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        apply(List.of(new Row(table, "", key, value, 0)));
    }

    /** Removes a row as the platform does. */
    synchronized void drop(String table, String key) {
        apply(List.of(new Row(table, "", key, null, 0)));
    }

    private Http.Answer handle(Http.Call call, int index) throws Exception {
        switch (call.path()) {
            case "/v1/rows-tx":
                Thread.sleep(3);
                long delay = lateMillis;
                if (delay > 0) writesMeanwhile.incrementAndGet();
                if (delay > 0 && new String(call.body(), java.nio.charset.StandardCharsets.UTF_8).contains(lateText)) {
                    lateMeanwhile.incrementAndGet();
                    Http.daemon(() -> carryOutLate(call.body(), index, delay));
                    // A channel on which an answer is lost delivers nothing further.
                    call.channel().isSilent = true;
                    return null;
                }
                return transact(call.body(), index);
            case "/v1/rows-get":
                return get(call.query());
            case "/v1/rows-feed":
                return feed(call);
            default:
                return new Http.Answer(400, "{}");
        }
    }

    private void carryOutLate(byte[] body, int index, long delay) {
        try {
            Thread.sleep(delay);
        } catch (InterruptedException e) {
            return;
        }
        Http.Answer answer = transact(body, index);
        synchronized (late) {
            late.add("" + answer.status());
        }
    }

    private static String place(String table, String part, String key) {
        return table + "\0" + part + "\0" + key;
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer transact(byte[] body, int index) {
        Map<String, Object> call = Json.object(body);
        List<Map<String, Object>> expected = (List<Map<String, Object>>) call.getOrDefault("ExpectedRevision", List.of());
        List<Map<String, Object>> written = (List<Map<String, Object>>) call.getOrDefault("Write", List.of());
        List<Map<String, Object>> removed = (List<Map<String, Object>>) call.getOrDefault("Remove", List.of());
        if (expected.size() + written.size() + removed.size() > MOST_ENTRIES || body.length > CALL_BYTES) {
            return new Http.Answer(400, "{}");
        }
        List<Row> changes = new ArrayList<>();
        for (Map<String, Object> one : written) changes.add(row(one, (String) one.getOrDefault("Value", "")));
        for (Map<String, Object> one : removed) changes.add(row(one, null));
        for (Row row : changes) {
            if (row.table.equals("op") || row.table.equals("servers")) return new Http.Answer(403, "{}");
            int bytes = row.value == null ? 0 : Base64.getDecoder().decode(row.value).length;
            if (bytes > ROW_BYTES) {
                refusedBytes = Math.max(refusedBytes, bytes);
                return new Http.Answer(400, "{}");
            }
        }
        List<Object> found = new ArrayList<>();
        boolean isMet = true;
        for (Map<String, Object> one : expected) {
            Row wanted = row(one, null);
            Row row = rows.get(place(wanted.table, wanted.part, wanted.key));
            long has = row == null ? 0 : row.version;
            isMet &= has == (Long) one.getOrDefault("RowVersion", 0L);
            if (row != null) found.add(row.wire());
        }
        if (!isMet) return new Http.Answer(412, answer(found, false));
        if (changes.stream().anyMatch(row -> row.table.equals("states") && row.key.equals("owner"))) leader = index;
        apply(changes);
        return new Http.Answer(200, answer(List.of(), false));
    }

    private static Row row(Map<String, Object> wire, String value) {
        return new Row((String) wire.get("Table"), (String) wire.getOrDefault("part", ""), (String) wire.get("Key"), value, 0);
    }

    private void apply(List<Row> changes) {
        version++;
        for (Row change : changes) {
            Row row = new Row(change.table, change.part, change.key, change.value, version);
            String place = place(row.table, row.part, row.key);
            if (row.value == null) rows.remove(place);
            else rows.put(place, row);
            history.add(row);
        }
        notifyAll();
    }

    private String answer(List<?> found, boolean hasMore) {
        return Json.write(Json.map("rows", found, "HasMore", hasMore ? true : null, "RowVersion", version,
                "CurrentTimeMs", System.nanoTime() / 1_000_000));
    }

    private synchronized Http.Answer get(Map<String, String> query) {
        String prefix = query.get("Table") + "\0" + query.getOrDefault("part", "") + "\0";
        int limit = Math.min(MOST_ROWS, Integer.parseInt(query.getOrDefault("Limit", "" + MOST_ROWS)));
        List<Object> found = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<String, Row> entry : rows.tailMap(prefix + query.getOrDefault("From", ""), true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            bytes += entry.getValue().value.length();
            if (found.size() == limit || bytes > CALL_BYTES) return new Http.Answer(200, answer(found, true));
            found.add(entry.getValue().wire());
        }
        return new Http.Answer(200, answer(found, false));
    }

    private synchronized Http.Answer feed(Http.Call call) throws InterruptedException {
        Map<String, String> query = call.query();
        long since = Long.parseLong(query.getOrDefault("Dependencies", "0"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        while (true) {
            List<Object> news = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).version > since; i--) {
                if (history.get(i).table.equals(query.get("Table"))) news.add(0, history.get(i).wire());
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!news.isEmpty() || left <= 0) return new Http.Answer(200, answer(news, false));
            wait(left);
        }
    }
}
