import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store (PROTOCOL, The platform's metadata store): linearizable, loses nothing, always answers. */
final class Store {
    private static final long TRANSACTION_MILLIS = 3;
    private static final int MOST_ROWS = 500;

    private record Row(String table, String part, String key, String value, long version) {
        String place() {
            return table + "\0" + part + "\0" + key;
        }

        Map<String, Object> wire() {
            Map<String, Object> wire =
                Json.map("Table", table, "part", part, "Key", key, "RowVersion", version);
            if (value == null) wire.put("Deleted", true); else wire.put("Value", value);
            return wire;
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final ArrayDeque<Row> history = new ArrayDeque<>();
    private long version;
    final Web web;

    Store() throws Exception {
        web = new Web(this::handle);
    }

    /** Writes a row as the operator or a worker does; null removes it. */
    synchronized void put(String table, String key, Object value) {
        String text = value == null ? null
            : Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8));
        version++;
        apply(new Row(table, "", key, text, version));
        notifyAll();
    }

    /** Returns the value of a row as text; null when there is none. */
    synchronized String get(String table, String part, String key) {
        Row row = rows.get(table + "\0" + part + "\0" + key);
        return row == null ? null : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.ISO_8859_1);
    }

    private void apply(Row row) {
        if (row.value() == null) rows.remove(row.place()); else rows.put(row.place(), row);
        history.add(row);
    }

    private Web.Reply handle(Web.Ask ask) throws Exception {
        return switch (ask.path()) {
            case "/v1/rows-tx" -> transact(Json.object(ask.body()));
            case "/v1/rows-get" -> read(ask.query());
            case "/v1/rows-feed" -> feed(ask.query());
            default -> new Web.Reply(400, "{}");
        };
    }

    private Web.Reply transact(Map<String, Object> call) throws Exception {
        Thread.sleep(TRANSACTION_MILLIS);
        synchronized (this) {
            List<Object> found = new ArrayList<>();
            boolean isMet = true;
            for (Object entry : Json.list(call.get("ExpectedRevision"))) {
                Row now = rows.get(row(entry).place());
                if (now != null) found.add(now.wire());
                isMet &= (now == null ? 0 : now.version()) == row(entry).version();
            }
            if (!isMet) return reply(412, found, false);
            for (String kind : List.of("Write", "Remove")) {
                for (Object entry : Json.list(call.get(kind))) {
                    if (row(entry).table().equals("op") || row(entry).table().equals("servers")) {
                        return new Web.Reply(403, "{}");
                    }
                }
            }
            version++;
            for (Object entry : Json.list(call.get("Write"))) apply(row(entry).at(version));
            for (Object entry : Json.list(call.get("Remove"))) apply(row(entry).removedAt(version));
            notifyAll();
            return reply(200, List.of(), false);
        }
    }

    @SuppressWarnings("unchecked")
    private static Draft row(Object entry) {
        Map<String, Object> map = (Map<String, Object>) entry;
        return new Draft(Json.string(map.get("Table")), Json.string(map.get("part")), Json.string(map.get("Key")),
            (String) map.get("Value"), Json.number(map.get("RowVersion")));
    }

    private record Draft(String table, String part, String key, String value, long version) {
        String place() {
            return table + "\0" + part + "\0" + key;
        }

        Row at(long newVersion) {
            return new Row(table, part, key, value, newVersion);
        }

        Row removedAt(long newVersion) {
            return new Row(table, part, key, null, newVersion);
        }
    }

    private synchronized Web.Reply read(Map<String, String> query) {
        String prefix = query.get("Table") + "\0" + query.getOrDefault("part", "") + "\0";
        String target = query.get("Target");
        int limit = Math.min(MOST_ROWS, Integer.parseInt(query.getOrDefault("Limit", "" + MOST_ROWS)));
        List<Object> found = new ArrayList<>();
        boolean hasMore = false;
        for (Row row : rows.tailMap(prefix + query.getOrDefault("From", ""), true).values()) {
            if (!row.place().startsWith(prefix)) break;
            if (target != null && row.key().compareTo(target) >= 0) break;
            if (found.size() == limit) {
                hasMore = true;
                break;
            }
            found.add(row.wire());
        }
        return reply(200, found, hasMore);
    }

    private synchronized Web.Reply feed(Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.getOrDefault("Dependencies", "0"));
        long untilNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        while (true) {
            List<Object> news = new ArrayList<>();
            for (Row row : history) {
                if (row.version() > since && row.table().equals(query.get("Table"))) news.add(row.wire());
            }
            long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
            if (!news.isEmpty() || leftMillis <= 0) return reply(200, news, false);
            wait(leftMillis);
        }
    }

    private Web.Reply reply(int status, List<Object> found, boolean hasMore) {
        Map<String, Object> answer = Json.map("rows", found, "RowVersion", version,
            "CurrentTimeMs", System.nanoTime() / 1_000_000);
        if (hasMore) answer.put("HasMore", true);
        return new Web.Reply(status, Json.write(answer));
    }
}
