import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows with conditions, ranges and the feed of changes. It loses nothing. */
final class Store {
    static final class Row {
        final String table;
        final String part;
        final String key;
        final String value;
        final long version;

        Row(String table, String part, String key, String value, long version) {
            this.table = table;
            this.part = part;
            this.key = key;
            this.value = value;
            this.version = version;
        }

        Map<String, Object> wire() {
            Map<String, Object> wire = Json.of("Table", table, "part", part, "Key", key, "RowVersion", version);
            if (value == null) wire.put("Deleted", true);
            else wire.put("Value", value);
            return wire;
        }
    }

    interface Gate {
        /** Returns the answer in place of the store's, or null to go on. */
        Http.Answer before(Http.Call call) throws Exception;
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> log = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private long version;
    final Http http;
    volatile Gate gate = call -> null;

    /** Entry that last wrote under a condition on a row named owner; empty before. */
    volatile String lastOwner = "";

    Store(String host) throws IOException {
        http = new Http(host, 0, this::handle);
    }

    private static String place(String table, String part, String key) {
        return table + "\u0001" + part + "\u0001" + key;
    }

    private long clock() {
        return 1_000 + (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a row as the operator or a worker does; null removes it. */
    synchronized void put(String table, String key, Object value) {
        version++;
        apply(table, "", key, value == null ? null : Base64.getEncoder().encodeToString(Json.write(value).getBytes()));
        notifyAll();
    }

    private void apply(String table, String part, String key, String value) {
        Row row = new Row(table, part, key, value, version);
        if (value == null) {
            if (rows.remove(place(table, part, key)) == null) return;
        } else {
            rows.put(place(table, part, key), row);
        }
        log.add(row);
    }

    private Http.Answer handle(Http.Call call) throws Exception {
        Http.Answer other = gate.before(call);
        if (other != null) return other;
        switch (call.path) {
            case "/v1/rows-tx": return transact(call.body);
            case "/v1/rows-get": return get(call.query);
            case "/v1/rows-feed": return feed(call.query);
            default: return new Http.Answer(404, null);
        }
    }

    private static String text(Map<String, Object> map, String key) {
        Object value = map.get(key);
        return value == null ? "" : (String) value;
    }

    private synchronized Http.Answer transact(Map<String, Object> body) {
        List<Object> found = new ArrayList<>();
        boolean holds = true;
        for (Object each : Json.list(body.get("ExpectedRevision"))) {
            Map<String, Object> row = Json.map(each);
            Row now = rows.get(place(text(row, "Table"), text(row, "part"), text(row, "Key")));
            if ((now == null ? 0 : now.version) != Json.number(row.get("RowVersion"))) holds = false;
            if (now != null) found.add(now.wire());
        }
        if (!holds) return new Http.Answer(412, Json.of("rows", found, "RowVersion", version, "CurrentTimeMs", clock()));
        List<Object> all = new ArrayList<>(Json.list(body.get("Write")));
        all.addAll(Json.list(body.get("Remove")));
        for (Object each : all) {
            String table = text(Json.map(each), "Table");
            if (table.equals("op") || table.equals("servers")) return new Http.Answer(403, Json.of());
        }
        version++;
        for (Object each : Json.list(body.get("Write"))) {
            Map<String, Object> row = Json.map(each);
            if ("owner".equals(row.get("Key"))) {
                String value = new String(Base64.getDecoder().decode(text(row, "Value")), java.nio.charset.StandardCharsets.ISO_8859_1);
                java.util.regex.Matcher name = java.util.regex.Pattern.compile("entry-\\d").matcher(value);
                if (name.find()) lastOwner = name.group();
            }
            apply(text(row, "Table"), text(row, "part"), text(row, "Key"), text(row, "Value"));
        }
        for (Object each : Json.list(body.get("Remove"))) {
            Map<String, Object> row = Json.map(each);
            apply(text(row, "Table"), text(row, "part"), text(row, "Key"), null);
        }
        notifyAll();
        return new Http.Answer(200, Json.of("RowVersion", version, "CurrentTimeMs", clock()));
    }

    private synchronized Http.Answer get(Map<String, String> query) {
        String table = query.getOrDefault("Table", "");
        String part = query.getOrDefault("part", "");
        String from = query.getOrDefault("From", "");
        String to = query.get("Target");
        int most = Math.min(500, Integer.parseInt(query.getOrDefault("Limit", "500")));
        List<Object> page = new ArrayList<>();
        boolean hasMore = false;
        for (Row row : rows.tailMap(place(table, part, from)).values()) {
            if (!row.table.equals(table) || !row.part.equals(part)) break;
            if (to != null && row.key.compareTo(to) >= 0) break;
            if (page.size() == most) {
                hasMore = true;
                break;
            }
            page.add(row.wire());
        }
        return new Http.Answer(200, Json.of("rows", page, "HasMore", hasMore, "RowVersion", version, "CurrentTimeMs", clock()));
    }

    private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
        String table = query.getOrDefault("Table", "");
        long since = Long.parseLong(query.getOrDefault("Dependencies", "0"));
        long untilNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        while (true) {
            List<Object> page = new ArrayList<>();
            int from = log.size();
            while (from > 0 && log.get(from - 1).version > since) from--;
            for (Row row : log.subList(from, log.size())) if (row.table.equals(table)) page.add(row.wire());
            long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
            if (!page.isEmpty() || leftMillis <= 0) {
                return new Http.Answer(200, Json.of("rows", page, "RowVersion", version, "CurrentTimeMs", clock()));
            }
            wait(leftMillis);
        }
    }
}
