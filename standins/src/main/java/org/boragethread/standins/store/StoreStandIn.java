package org.boragethread.standins.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.StandInResponse;
import org.boragethread.standins.http.StandInServer;

/** Stand-in for a store that keeps the latest record of each key, on a loopback port. */
public final class StoreStandIn implements AutoCloseable {

    /** Topic of the records that operators write. */
    public static final String OPERATOR_TOPIC = "keyed.op";

    /** Topic of the states of operators' orders. */
    public static final String STATUS_TOPIC = "keyed.status";

    /** Topic of upstream announcements. */
    public static final String UPSTREAM_TOPIC = "keyed.servers";

    /** Partitions of each topic, the default of the gateways' settings. */
    private static final int PARTITIONS = 12;

    private static final String BYTES = "application/octet-stream";

    private final ObjectMapper mMapper = new ObjectMapper();
    private final StandInServer mServer = new StandInServer("store", 1, this::handle);
    private final ScheduledExecutorService mTimers =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "store-timers");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Map<String, Topic> mTopics = new HashMap<>();
    private final TreeSet<String> mMembers = new TreeSet<>();
    private final Map<String, Long> mExpiries = new HashMap<>();
    private BiConsumer<String, String> mAppendListener = (key, value) -> {};
    private long mGeneration;
    private boolean mDown;
    private long mEra = 1;
    private Map<String, Topic> mCopy = Map.of();

    /** Starts listening on a free port. */
    public void start() throws IOException {
        mServer.start(0);
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return mServer.address();
    }

    /** Appends a record; an empty value is a tombstone that removes the key. */
    public synchronized void put(String topic, String key, String value) {
        Topic target = topic(topic);
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + bytes.length);
        record.put((byte) name.length).put(name).put(bytes);
        target.mLog.add(record.array());
        if (value.isEmpty()) {
            target.mLatest.remove(key);
        } else {
            target.mLatest.put(key, bytes);
        }
        mAppendListener.accept(key, value);
        List<Runnable> reads = new ArrayList<>(target.mWaitingReads);
        target.mWaitingReads.clear();
        reads.forEach(Runnable::run);
    }

    /** Sets what is told the key and value of each record before any reader gets it. */
    public synchronized void setAppendListener(BiConsumer<String, String> listener) {
        mAppendListener = listener;
    }

    /** Returns the keys of a topic. */
    public synchronized List<String> keys(String topic) {
        return new ArrayList<>(topic(topic).mLatest.keySet());
    }

    /** Returns the value of a key; empty if the topic does not have it. */
    public synchronized Optional<String> value(String topic, String key) {
        return Optional.ofNullable(topic(topic).mLatest.get(key))
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8));
    }

    /** Returns all values that a key has ever had, oldest first; empty ones removed it. */
    public synchronized List<String> history(String topic, String key) {
        List<String> values = new ArrayList<>();
        for (byte[] record : topic(topic).mLog) {
            int length = Byte.toUnsignedInt(record[0]);
            if (key.equals(new String(record, 1, length, StandardCharsets.UTF_8))) {
                int start = 1 + length;
                values.add(
                        new String(record, start, record.length - start, StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    /** Sets whether every call is answered with status 503. */
    public synchronized void setDown(boolean down) {
        mDown = down;
    }

    /** Keeps a copy of all records. */
    public synchronized void copyRecords() {
        Map<String, Topic> copy = new HashMap<>();
        mTopics.forEach((name, topic) -> copy.put(name, new Topic(topic)));
        mCopy = copy;
    }

    /** Comes back from the copy: later records are lost, and offsets are given out again. */
    public synchronized void restoreCopy() {
        List<Runnable> reads = new ArrayList<>();
        mTopics.values().forEach(topic -> reads.addAll(topic.mWaitingReads));
        mTopics.clear();
        mCopy.forEach((name, topic) -> mTopics.put(name, new Topic(topic)));
        mEra++;
        reads.forEach(Runnable::run);
    }

    private void respond(Exchange exchange, StandInResponse response) {
        exchange.respond(response.with("Store-Era", Long.toString(mEra)));
    }

    private synchronized void handle(Exchange exchange) {
        if (mDown) {
            respond(exchange, StandInResponse.text(503, "down"));
            return;
        }
        switch (exchange.path()) {
            case "/v1/log-newest" -> respondWithLatest(exchange);
            case "/v1/log-read" -> read(exchange);
            case "/v1/log-append" -> append(exchange);
            case "/v1/log-join" -> joinGroup(exchange);
            case "/v1/log-leave" -> leaveGroup(exchange);
            case "/v1/log-owners" -> listOwners(exchange);
            default -> respond(exchange, StandInResponse.text(404, "unknown call"));
        }
    }

    private void respondWithLatest(Exchange exchange) {
        Topic topic = topic(exchange.query("topic").orElse(""));
        List<Map<String, Object>> items = new ArrayList<>();
        topic.mLatest.forEach(
                (key, value) ->
                        items.add(
                                Map.of(
                                        "key",
                                        key,
                                        "value",
                                        Base64.getEncoder().encodeToString(value),
                                        "offset",
                                        0)));
        respond(
                exchange,
                StandInResponse.json(
                        200,
                        Map.of(
                                "items",
                                items,
                                "has_more",
                                false,
                                "end_offset",
                                topic.mLog.size())));
    }

    private void append(Exchange exchange) {
        String topic = exchange.query("topic").orElse("");
        long end = topicSize(topic);
        if (exchange.queryLong("at", end) != end) {
            respond(exchange, StandInResponse.json(412, Map.of("end_offset", end)));
            return;
        }
        ByteBuffer body = ByteBuffer.wrap(exchange.body());
        while (body.hasRemaining()) {
            byte[] record = new byte[body.getInt()];
            body.get(record);
            int keyLength = Byte.toUnsignedInt(record[0]);
            put(
                    topic,
                    new String(record, 1, keyLength, StandardCharsets.UTF_8),
                    new String(
                            record,
                            1 + keyLength,
                            record.length - 1 - keyLength,
                            StandardCharsets.UTF_8));
        }
        respond(exchange, StandInResponse.json(200, Map.of("end_offset", topicSize(topic))));
    }

    private int topicSize(String name) {
        return topic(name).mLog.size();
    }

    private void read(Exchange exchange) {
        String name = exchange.query("topic").orElse("");
        Topic topic = topic(name);
        long from = exchange.queryLong("from", 0);
        long waitMs = exchange.queryLong("wait_ms", 0);
        if (from != topic.mLog.size() || waitMs == 0) {
            respondToRead(exchange, name, from);
            return;
        }
        Runnable response = () -> respondToRead(exchange, name, from);
        topic.mWaitingReads.add(response);
        mTimers.schedule(() -> timeOutRead(topic, response), waitMs, TimeUnit.MILLISECONDS);
    }

    private synchronized void timeOutRead(Topic topic, Runnable response) {
        if (topic.mWaitingReads.remove(response)) {
            response.run();
        }
    }

    private void respondToRead(Exchange exchange, String name, long from) {
        Topic topic = topic(name);
        if (from > topic.mLog.size()) {
            respond(exchange, StandInResponse.json(410, Map.of("first_offset", 0)));
            return;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(ByteBuffer.allocate(16).putLong(topic.mLog.size()).putLong(0).array());
        for (int i = (int) from; i < topic.mLog.size(); i++) {
            byte[] record = topic.mLog.get(i);
            body.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
            body.writeBytes(record);
        }
        respond(exchange, new StandInResponse(200, BYTES, Map.of(), body.toByteArray()));
    }

    private JsonNode parse(Exchange exchange) {
        try {
            return mMapper.readTree(exchange.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void joinGroup(Exchange exchange) {
        JsonNode body = parse(exchange);
        String member = body.path("member").asText();
        removeExpiredMembers();
        if (mMembers.add(member)) {
            mGeneration++;
        }
        long ttlNanos = TimeUnit.MILLISECONDS.toNanos(body.path("ttl_ms").asLong());
        mExpiries.put(member, System.nanoTime() + ttlNanos);
        respond(
                exchange,
                StandInResponse.json(
                        200, Map.of("generation", mGeneration, "parts", partitions(member, body))));
    }

    private void leaveGroup(Exchange exchange) {
        removeMember(parse(exchange).path("member").asText());
        respond(exchange, StandInResponse.json(200, Map.of()));
    }

    private void removeMember(String member) {
        mExpiries.remove(member);
        if (mMembers.remove(member)) {
            mGeneration++;
        }
    }

    /** Removes the members that have not joined again within their time to live. */
    private void removeExpiredMembers() {
        long now = System.nanoTime();
        List.copyOf(mMembers).stream()
                .filter(member -> mExpiries.get(member) - now < 0)
                .forEach(this::removeMember);
    }

    /** Returns every partition of the joined topics whose turn it is to belong to the member. */
    private List<List<Object>> partitions(String member, JsonNode join) {
        int place = new ArrayList<>(mMembers).indexOf(member);
        List<List<Object>> partitions = new ArrayList<>();
        for (JsonNode topic : join.path("topics")) {
            for (int i = 0; i < PARTITIONS; i++) {
                if (i % mMembers.size() == place) {
                    partitions.add(List.of(topic.asText(), i, 0));
                }
            }
        }
        return partitions;
    }

    private void listOwners(Exchange exchange) {
        removeExpiredMembers();
        List<List<Object>> owners = new ArrayList<>();
        mMembers.forEach(member -> owners.add(List.of("entries-0", owners.size(), member, 0)));
        respond(exchange, StandInResponse.json(200, Map.of("parts", owners)));
    }

    private Topic topic(String name) {
        return mTopics.computeIfAbsent(name, key -> new Topic());
    }

    @Override
    public void close() {
        mTimers.shutdownNow();
        mServer.close();
    }

    /** A topic: its log, the latest value of each key, and the reads that wait for a record. */
    private static final class Topic {

        Topic() {}

        Topic(Topic other) {
            mLog.addAll(other.mLog);
            mLatest.putAll(other.mLatest);
        }

        private final List<byte[]> mLog = new ArrayList<>();
        private final Map<String, byte[]> mLatest = new TreeMap<>();
        private final List<Runnable> mWaitingReads = new ArrayList<>();
    }
}
