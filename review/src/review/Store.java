package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the platform's store: keyed topics and one consumer group. */
final class Store implements AutoCloseable {
    private static final int PARTS = 12;

    private static final class Topic {
        final List<byte[]> log = new ArrayList<>();
        final Map<String, Integer> newest = new TreeMap<>();
    }

    private static final class Member {
        long expiresAt;
    }

    private final HttpServer mServer;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final Map<String, Topic> mTopics = new HashMap<>();
    private final TreeMap<String, Member> mMembers = new TreeMap<>();
    private long mGeneration = 1;
    private volatile boolean mDown;

    Store() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        mServer.createContext("/", this::handle);
        mServer.setExecutor(mThreads);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** While it is down, the store refuses all calls with 503, which means that nothing was done. */
    void setDown(boolean down) {
        mDown = down;
    }

    synchronized void put(String topicName, String key, String value) {
        put(topicName, key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void put(String topicName, String key, byte[] value) {
        Topic topic = mTopics.computeIfAbsent(topicName, name -> new Topic());
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] record = new byte[1 + name.length + value.length];
        record[0] = (byte) name.length;
        System.arraycopy(name, 0, record, 1, name.length);
        System.arraycopy(value, 0, record, 1 + name.length, value.length);
        append(topic, record);
        notifyAll();
    }

    void remove(String topicName, String key) {
        put(topicName, key, new byte[0]);
    }

    private void append(Topic topic, byte[] record) {
        int keyLength = Byte.toUnsignedInt(record[0]);
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        topic.log.add(record);
        if (record.length == 1 + keyLength) {
            topic.newest.remove(key);
        } else {
            topic.newest.put(key, topic.log.size() - 1);
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (mDown) {
                respond(exchange, 503, "{}".getBytes(StandardCharsets.UTF_8));
                return;
            }
            Map<String, String> query = query(exchange);
            switch (exchange.getRequestURI().getPath()) {
                case "/v1/log-newest" -> respond(exchange, 200, newest(query));
                case "/v1/log-read" -> read(exchange, query);
                case "/v1/log-append" -> respond(exchange, 200, appendAll(query, body));
                case "/v1/log-join" -> respond(exchange, 200, join(text(body)));
                case "/v1/log-leave" -> respond(exchange, 200, leave(text(body)));
                case "/v1/log-owners" -> respond(exchange, 200, owners());
                default -> respond(exchange, 404, new byte[0]);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static String text(byte[] body) {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> fields = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        if (query != null) {
            for (String pair : query.split("&")) {
                int equals = pair.indexOf('=');
                fields.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return fields;
    }

    private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }

    private synchronized byte[] newest(Map<String, String> query) {
        Topic topic = mTopics.computeIfAbsent(query.get("topic"), name -> new Topic());
        StringBuilder items = new StringBuilder();
        topic.newest.forEach(
                (key, offset) -> {
                    byte[] record = topic.log.get(offset);
                    int start = 1 + Byte.toUnsignedInt(record[0]);
                    byte[] value = java.util.Arrays.copyOfRange(record, start, record.length);
                    items.append(items.length() == 0 ? "" : ",")
                            .append("{\"key\":\"" + key + "\",\"value\":\"")
                            .append(Base64.getEncoder().encodeToString(value))
                            .append("\",\"offset\":" + offset + "}");
                });
        return ("{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + topic.log.size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private void read(HttpExchange exchange, Map<String, String> query)
            throws IOException, InterruptedException {
        int from = Integer.parseInt(query.get("from"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = mTopics.computeIfAbsent(query.get("topic"), name -> new Topic());
            while (topic.log.size() <= from && System.nanoTime() < end && !mDown) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(topic.log.size());
            out.writeLong(0);
            for (int i = from; i < topic.log.size(); i++) {
                out.writeInt(topic.log.get(i).length);
                out.write(topic.log.get(i));
            }
        }
        respond(exchange, mDown ? 503 : 200, bytes.toByteArray());
    }

    private synchronized byte[] appendAll(Map<String, String> query, byte[] body) {
        Topic topic = mTopics.computeIfAbsent(query.get("topic"), name -> new Topic());
        int offset = topic.log.size();
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.hasRemaining()) {
            byte[] record = new byte[records.getInt()];
            records.get(record);
            append(topic, record);
        }
        notifyAll();
        return ("{\"offset\":" + offset + ",\"end_offset\":" + topic.log.size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String field(String json, String name) {
        Matcher match = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}\\]]+)").matcher(json);
        return match.find() ? match.group(1) : "";
    }

    private synchronized byte[] join(String body) {
        expire();
        String name = field(body, "member");
        Member member = mMembers.get(name);
        if (member == null) {
            member = new Member();
            mMembers.put(name, member);
            mGeneration++;
        }
        member.expiresAt = System.nanoTime() + Long.parseLong(field(body, "ttl_ms")) * 1_000_000;
        return ("{\"generation\":" + mGeneration + ",\"ttl_ms\":" + field(body, "ttl_ms")
                        + ",\"parts\":" + rows(name, false) + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] leave(String body) {
        if (mMembers.remove(field(body, "member")) != null) {
            mGeneration++;
        }
        return "{}".getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] owners() {
        expire();
        StringBuilder rows = new StringBuilder();
        for (String name : mMembers.keySet()) {
            String own = rows(name, true);
            rows.append(rows.length() == 0 || own.length() == 2 ? "" : ",");
            rows.append(own, 1, own.length() - 1);
        }
        return ("{\"parts\":[" + rows + "]}").getBytes(StandardCharsets.UTF_8);
    }

    private String rows(String name, boolean withMember) {
        List<String> names = new ArrayList<>(mMembers.keySet());
        List<String> rows = new ArrayList<>();
        int number = 0;
        for (String topic : List.of("entries-0", "entries-1", "entries-2")) {
            for (int part = 0; part < PARTS; part++, number++) {
                if (names.get(number % names.size()).equals(name)) {
                    rows.add("[\"" + topic + "\"," + part + ","
                            + (withMember ? "\"" + name + "\"," : "") + "0]");
                }
            }
        }
        return "[" + String.join(",", rows) + "]";
    }

    private void expire() {
        long now = System.nanoTime();
        if (mMembers.values().removeIf(member -> member.expiresAt < now)) {
            mGeneration++;
        }
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }
}
