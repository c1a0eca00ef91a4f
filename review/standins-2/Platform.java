import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's store: a log with compacted topics and groups (PROTOCOL.md). */
final class Platform implements AutoCloseable {

    private static final int PARTITIONS = 12;

    private final ServerSocket mServer;
    private final Map<String, Topic> mTopics = new HashMap<>();
    private final Map<String, Group> mGroups = new HashMap<>();
    private volatile boolean mDown;

    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final TreeMap<String, byte[]> newest = new TreeMap<>();
        final Map<String, Long> offsets = new HashMap<>();
    }

    private static final class Group {
        final TreeMap<String, List<String>> members = new TreeMap<>();
        final Map<String, Long> expiry = new HashMap<>();
        long generation = 1;
    }

    private record Response(int status, byte[] body, String type) {}

    Platform() throws IOException {
        mServer = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Case.daemon("platform", this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    static int partitions() {
        return PARTITIONS;
    }

    /** Makes the store answer every call with 503 (nothing was done), or serve again. */
    void setDown(boolean down) {
        mDown = down;
        synchronized (this) {
            notifyAll();
        }
    }

    /** Writes a record of the operator or of an engine; an empty value deletes the key. */
    synchronized long put(String topic, String key, String value) {
        append(topic, record(key, value.getBytes(StandardCharsets.UTF_8)));
        return topic(topic).records.size();
    }

    private static byte[] record(String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + name.length + value.length)
                .put((byte) name.length)
                .put(name)
                .put(value)
                .array();
    }

    private Topic topic(String name) {
        return mTopics.computeIfAbsent(name, key -> new Topic());
    }

    private synchronized void append(String name, byte[] record) {
        Topic topic = topic(name);
        int keyLength = Byte.toUnsignedInt(record[0]);
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
        topic.offsets.put(key, (long) topic.records.size());
        topic.records.add(record);
        if (value.length == 0) {
            topic.newest.remove(key);
        } else {
            topic.newest.put(key, value);
        }
        notifyAll();
    }

    private void acceptAll() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                Case.daemon("platform-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Optional<Http.Head> head = Http.readHead(in, false);
                if (head.isEmpty()) {
                    return;
                }
                byte[] body = Http.readBody(in, head.get());
                Response response =
                        mDown ? unavailable() : respond(head.get().target(), body);
                byte[] start =
                        ("HTTP/1.1 %d X\r\nContent-Type: %s\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n"
                                        .formatted(
                                                response.status(),
                                                response.type(),
                                                response.body().length))
                                .getBytes(StandardCharsets.ISO_8859_1);
                ByteArrayOutputStream whole = new ByteArrayOutputStream();
                whole.write(start);
                whole.write(response.body());
                out.write(whole.toByteArray());
                out.flush();
            }
        } catch (IOException e) {
            // The caller closed the connection.
        }
    }

    private static Response unavailable() {
        return new Response(503, new byte[0], "application/json");
    }

    private static Response json(String body) {
        return new Response(200, body.getBytes(StandardCharsets.UTF_8), "application/json");
    }

    private Response respond(String target, byte[] body) {
        String path = target.split("\\?")[0];
        Map<String, String> query = query(target);
        switch (path) {
            case "/v1/log-newest":
                return newest(query.get("topic"), query.getOrDefault("after", ""));
            case "/v1/log-read":
                return read(
                        query.get("topic"),
                        Long.parseLong(query.get("from")),
                        Long.parseLong(query.getOrDefault("wait_ms", "0")));
            case "/v1/log-append":
                return appendAll(query.get("topic"), body);
            case "/v1/log-join":
                return join(new String(body, StandardCharsets.UTF_8));
            case "/v1/log-leave":
                return leave(new String(body, StandardCharsets.UTF_8));
            case "/v1/log-owners":
                return json("{\"parts\":[" + rows(query.get("group"), Optional.empty()) + "]}");
            default:
                return new Response(404, new byte[0], "application/json");
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int start = target.indexOf('?');
        if (start < 0) {
            return query;
        }
        for (String pair : target.substring(start + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(
                    parts[0],
                    java.net.URLDecoder.decode(
                            parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized Response newest(String name, String after) {
        Topic topic = topic(name);
        StringBuilder items = new StringBuilder();
        for (Map.Entry<String, byte[]> entry : topic.newest.tailMap(after, false).entrySet()) {
            items.append(items.length() == 0 ? "" : ",")
                    .append(
                            "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
                                    .formatted(
                                            entry.getKey(),
                                            Base64.getEncoder().encodeToString(entry.getValue()),
                                            topic.offsets.get(entry.getKey())));
        }
        return json(
                "{\"items\":[%s],\"has_more\":false,\"end_offset\":%d}"
                        .formatted(items, topic.records.size()));
    }

    private synchronized Response read(String name, long from, long waitMs) {
        Topic topic = topic(name);
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (topic.records.size() <= from && !mDown) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                break;
            }
        }
        if (mDown) {
            return unavailable();
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(
                ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
        for (int i = (int) from; i < topic.records.size(); i++) {
            byte[] record = topic.records.get(i);
            body.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
            body.writeBytes(record);
        }
        return new Response(200, body.toByteArray(), "application/octet-stream");
    }

    private synchronized Response appendAll(String name, byte[] body) {
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            return new Response(403, new byte[0], "application/json");
        }
        long offset = topic(name).records.size();
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.hasRemaining()) {
            byte[] record = new byte[records.getInt()];
            records.get(record);
            append(name, record);
        }
        return json(
                "{\"offset\":%d,\"end_offset\":%d}"
                        .formatted(offset, topic(name).records.size()));
    }

    private static String field(String json, String name) {
        Matcher match = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(json);
        return match.find() ? match.group(1) : "";
    }

    private static long number(String json, String name) {
        Matcher match = Pattern.compile("\"" + name + "\":(\\d+)").matcher(json);
        return match.find() ? Long.parseLong(match.group(1)) : 0;
    }

    private synchronized Response join(String body) {
        String member = field(body, "member");
        Group group = mGroups.computeIfAbsent(field(body, "group"), key -> new Group());
        long now = System.nanoTime();
        group.expiry.put(member, now + number(body, "ttl_ms") * 1_000_000);
        Matcher list = Pattern.compile("\"topics\":\\[([^\\]]*)\\]").matcher(body);
        List<String> topics = new ArrayList<>();
        if (list.find()) {
            for (String topic : list.group(1).split(",")) {
                topics.add(topic.replace("\"", "").strip());
            }
        }
        boolean expired = group.members.keySet().removeIf(name -> group.expiry.get(name) < now);
        if (group.members.put(member, topics) == null || expired) {
            group.generation++;
        }
        return json(
                "{\"generation\":%d,\"parts\":[%s]}"
                        .formatted(
                                group.generation, rows(field(body, "group"), Optional.of(member))));
    }

    private synchronized Response leave(String body) {
        Group group = mGroups.computeIfAbsent(field(body, "group"), key -> new Group());
        if (group.members.remove(field(body, "member")) != null) {
            group.generation++;
        }
        return json("{}");
    }

    /** Returns rows of topic, partition, member (unless one is given) and committed offset. */
    private synchronized String rows(String name, Optional<String> only) {
        Group group = mGroups.computeIfAbsent(name, key -> new Group());
        List<String> members = new ArrayList<>(group.members.keySet());
        StringBuilder rows = new StringBuilder();
        if (members.isEmpty()) {
            return "";
        }
        int row = 0;
        for (String topic : group.members.get(members.get(0))) {
            for (int part = 0; part < PARTITIONS; part++) {
                String owner = members.get(row++ % members.size());
                if (only.filter(member -> !member.equals(owner)).isPresent()) {
                    continue;
                }
                rows.append(rows.length() == 0 ? "" : ",")
                        .append(
                                only.isPresent()
                                        ? "[\"%s\",%d,0]".formatted(topic, part)
                                        : "[\"%s\",%d,\"%s\",0]".formatted(topic, part, owner));
            }
        }
        return rows.toString();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
