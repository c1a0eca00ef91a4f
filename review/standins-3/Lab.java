import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for the third review: a store, an engine, a caller, and the start of an entry. */
final class Lab implements AutoCloseable {

    /** The API key of the tenant of the test. */
    static final String KEY = "key-1";

    private final long mStart = System.nanoTime();
    private final PrintWriter mRecord;
    private final List<AutoCloseable> mOpen = new ArrayList<>();
    private volatile boolean mClosed;
    final Path mFolder;
    final Store mStore;
    private final List<Entry> mEntries = new java.util.concurrent.CopyOnWriteArrayList<>();

    Lab(String recordFile) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        mFolder = Files.createTempDirectory("review-3-");
        mStore = new Store();
    }

    /** Whether the disruption is played. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    synchronized void note(String format, Object... args) {
        if (mClosed) {
            return;
        }
        long ms = (System.nanoTime() - mStart) / 1_000_000;
        mRecord.printf("%7d ms  %s%n", ms, String.format(format, args));
    }

    synchronized <T extends AutoCloseable> T keep(T resource) {
        mOpen.add(0, resource);
        return resource;
    }

    Engine engine(String service, String name) throws IOException {
        return keep(new Engine(service, name));
    }

    Entry entry(String name) throws Exception {
        Entry entry = keep(new Entry(name));
        mEntries.add(entry);
        return entry;
    }

    @Override
    public void close() {
        List<AutoCloseable> all;
        synchronized (this) {
            all = new ArrayList<>(mOpen);
        }
        for (AutoCloseable resource : all) {
            try {
                resource.close();
            } catch (Exception e) {
                note("close: %s", e);
            }
        }
        mStore.close();
        try (java.util.stream.Stream<Path> files = Files.list(mFolder)) {
            files.forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            note("close: %s", e);
        }
        mFolder.toFile().delete();
        mClosed = true;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static Thread daemon(String name, Body body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (Exception e) {
                                // The socket has ended.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body {
        void run() throws Exception;
    }

    /** A case; returns whether the rule was broken. */
    interface Case {
        boolean play(Lab lab) throws Exception;
    }

    /** Plays a case, and ends with 41 if the rule was broken, 40 if it held, 2 if it could not run. */
    static void main(String[] args, Case played) throws Exception {
        int status = 2;
        Lab lab = new Lab(args[0]);
        Runtime.getRuntime().addShutdownHook(new Thread(lab::killAll));
        daemon("limit", () -> {
            Thread.sleep(110_000);
            lab.note("the case took too long");
            lab.killAll();
            Runtime.getRuntime().halt(2);
        });
        try {
            lab.note("disruption: %s", trouble());
            boolean broken = played.play(lab);
            lab.note("%s", broken ? "BROKEN" : "held");
            status = broken ? 41 : 40;
        } catch (Exception e) {
            lab.note("could not run: %s", e);
        } finally {
            lab.close();
        }
        System.exit(status);
    }

    /** Kills the processes that this case has started. */
    private void killAll() {
        mEntries.forEach(entry -> entry.mProcess.destroyForcibly());
    }

    // ---------------------------------------------------------------- store

    /** The platform's store: logs of records, the newest of each key, and groups. */
    final class Store {
        private final HttpServer mServer;
        private final Map<String, List<byte[]>> mLogs = new HashMap<>();
        private final Map<String, TreeMap<String, Object[]>> mNewest = new HashMap<>();
        private final Map<String, TreeMap<String, Long>> mGroups = new HashMap<>();
        private final Map<String, Long> mGenerations = new HashMap<>();
        volatile int mEra = 1;

        Store() throws IOException {
            mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
            mServer.setExecutor(
                    Executors.newCachedThreadPool(
                            task -> {
                                Thread thread = new Thread(task, "store");
                                thread.setDaemon(true);
                                return thread;
                            }));
            mServer.createContext("/", this::handle);
            mServer.start();
        }

        private Map<String, List<byte[]>> mLogsCopy = Map.of();
        private Map<String, TreeMap<String, Object[]>> mNewestCopy = Map.of();
        private volatile boolean mAway;

        /** Keeps a copy of all records. */
        synchronized void copyRecords() {
            mLogsCopy = new HashMap<>();
            mLogs.forEach((log, records) -> mLogsCopy.put(log, new ArrayList<>(records)));
            mNewestCopy = new HashMap<>();
            mNewest.forEach((log, records) -> mNewestCopy.put(log, new TreeMap<>(records)));
        }

        /** Refuses all calls until the records are restored. */
        synchronized void goAway() {
            mAway = true;
            notifyAll();
        }

        /** Comes back from the copy; offsets are given out again. */
        synchronized void comeBackFromCopy() {
            mLogs.clear();
            mLogs.putAll(mLogsCopy);
            mNewest.clear();
            mNewest.putAll(mNewestCopy);
            mEra++;
            mAway = false;
        }

        String address() {
            return "127.0.0.1:" + mServer.getAddress().getPort();
        }

        void close() {
            mServer.stop(0);
        }

        synchronized void put(String topic, String key, String value) {
            append(topic + "/0", key.getBytes(StandardCharsets.UTF_8),
                    value.getBytes(StandardCharsets.UTF_8));
        }

        synchronized String value(String topic, String key) {
            Object[] entry = mNewest.getOrDefault(topic + "/0", new TreeMap<>()).get(key);
            return entry == null ? null : new String((byte[]) entry[0], StandardCharsets.UTF_8);
        }

        private void append(String log, byte[] key, byte[] value) {
            List<byte[]> records = mLogs.computeIfAbsent(log, k -> new ArrayList<>());
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(key.length);
            out.writeBytes(key);
            out.writeBytes(value);
            records.add(out.toByteArray());
            TreeMap<String, Object[]> newest = mNewest.computeIfAbsent(log, k -> new TreeMap<>());
            String name = new String(key, StandardCharsets.UTF_8);
            if (value.length == 0) {
                newest.remove(name);
            } else {
                newest.put(name, new Object[] {value, records.size() - 1});
            }
            notifyAll();
        }

        private void handle(HttpExchange exchange) throws IOException {
            try {
                byte[] body = exchange.getRequestBody().readAllBytes();
                Map<String, String> query = new HashMap<>();
                String raw = exchange.getRequestURI().getQuery();
                for (String pair : (raw == null ? "" : raw).split("&")) {
                    int equals = pair.indexOf('=');
                    if (equals > 0) {
                        query.put(pair.substring(0, equals), pair.substring(equals + 1));
                    }
                }
                if (mAway) {
                    json(exchange, 503, "{}");
                    return;
                }
                String log = query.get("topic") + "/" + query.getOrDefault("part", "0");
                switch (exchange.getRequestURI().getPath()) {
                    case "/v1/log-newest" -> newest(exchange, log);
                    case "/v1/log-read" -> read(exchange, log, query);
                    case "/v1/log-append" -> appendAll(exchange, log, query, body);
                    case "/v1/log-join" -> join(exchange, new String(body, StandardCharsets.UTF_8));
                    case "/v1/log-leave" -> leave(exchange, new String(body, StandardCharsets.UTF_8));
                    case "/v1/log-owners" -> owners(exchange);
                    default -> send(exchange, 404, "{}".getBytes(), "application/json");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void send(HttpExchange exchange, int status, byte[] body, String type)
                throws IOException {
            exchange.getResponseHeaders().set("Content-Type", type);
            exchange.getResponseHeaders().set("Store-Era", Integer.toString(mEra));
            exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
            if (body.length > 0) {
                exchange.getResponseBody().write(body);
            }
            exchange.close();
        }

        private void json(HttpExchange exchange, int status, String text) throws IOException {
            send(exchange, status, text.getBytes(StandardCharsets.UTF_8), "application/json");
        }

        private void newest(HttpExchange exchange, String log) throws IOException {
            StringBuilder text = new StringBuilder("{\"items\":[");
            synchronized (this) {
                String separator = "";
                for (Map.Entry<String, Object[]> entry :
                        mNewest.getOrDefault(log, new TreeMap<>()).entrySet()) {
                    text.append(separator)
                            .append("{\"key\":\"").append(entry.getKey())
                            .append("\",\"value\":\"")
                            .append(Base64.getEncoder().encodeToString((byte[]) entry.getValue()[0]))
                            .append("\",\"offset\":").append(entry.getValue()[1]).append('}');
                    separator = ",";
                }
                text.append("],\"has_more\":false,\"end_offset\":").append(size(log)).append('}');
            }
            json(exchange, 200, text.toString());
        }

        private int size(String log) {
            return mLogs.getOrDefault(log, List.of()).size();
        }

        private void read(HttpExchange exchange, String log, Map<String, String> query)
                throws IOException, InterruptedException {
            long from = Long.parseLong(query.getOrDefault("from", "0"));
            long end =
                    System.nanoTime()
                            + TimeUnit.MILLISECONDS.toNanos(
                                    Long.parseLong(query.getOrDefault("wait_ms", "0")));
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            synchronized (this) {
                while (from == size(log) && System.nanoTime() < end && !mAway) {
                    wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
                }
                if (mAway) {
                    json(exchange, 503, "{}");
                    return;
                }
                if (from > size(log)) {
                    json(exchange, 410, "{\"first_offset\":0}");
                    return;
                }
                DataOutputStream out = new DataOutputStream(bytes);
                out.writeLong(size(log));
                out.writeLong(0);
                for (int i = (int) from; i < size(log); i++) {
                    byte[] record = mLogs.get(log).get(i);
                    out.writeInt(record.length);
                    out.write(record);
                }
            }
            send(exchange, 200, bytes.toByteArray(), "application/octet-stream");
        }

        private void appendAll(
                HttpExchange exchange, String log, Map<String, String> query, byte[] body)
                throws IOException {
            int offset;
            int end;
            synchronized (this) {
                offset = size(log);
                if (Long.parseLong(query.getOrDefault("at", "" + offset)) != offset) {
                    json(exchange, 412, "{\"end_offset\":" + offset + "}");
                    return;
                }
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
                while (in.available() > 0) {
                    byte[] record = new byte[in.readInt()];
                    in.readFully(record);
                    int length = record[0] & 0xff;
                    append(log, java.util.Arrays.copyOfRange(record, 1, 1 + length),
                            java.util.Arrays.copyOfRange(record, 1 + length, record.length));
                }
                end = size(log);
            }
            json(exchange, 200, "{\"offset\":" + offset + ",\"end_offset\":" + end + "}");
        }

        private String field(String json, String name) {
            Matcher matcher =
                    Pattern.compile("\"" + name + "\"\\s*:\\s*(?:\"([^\"]*)\"|([0-9]+))").matcher(json);
            if (!matcher.find()) {
                return "";
            }
            return matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
        }

        private synchronized void join(HttpExchange exchange, String body) throws IOException {
            String group = field(body, "group");
            String member = field(body, "member");
            String ttl = field(body, "ttl_ms");
            TreeMap<String, Long> members = mGroups.computeIfAbsent(group, k -> new TreeMap<>());
            long now = System.nanoTime();
            int before = members.size();
            members.values().removeIf(expiry -> expiry - now < 0);
            boolean changed = members.size() != before || !members.containsKey(member);
            members.put(member, now + Long.parseLong(ttl.isEmpty() ? "3000" : ttl) * 1_000_000);
            if (changed) {
                mGenerations.merge(group, 1L, Long::sum);
            }
            List<String> names = new ArrayList<>(members.keySet());
            Matcher topics = Pattern.compile("\"topics\"\\s*:\\s*\\[([^\\]]*)\\]").matcher(body);
            StringBuilder parts = new StringBuilder();
            if (topics.find()) {
                Matcher topic = Pattern.compile("\"([^\"]*)\"").matcher(topics.group(1));
                while (topic.find()) {
                    for (int i = names.indexOf(member); i < 12; i += names.size()) {
                        parts.append(parts.length() == 0 ? "" : ",")
                                .append("[\"").append(topic.group(1)).append("\",").append(i)
                                .append(",0]");
                    }
                }
            }
            json(exchange, 200,
                    "{\"generation\":" + mGenerations.get(group) + ",\"ttl_ms\":"
                            + (ttl.isEmpty() ? "3000" : ttl) + ",\"parts\":[" + parts + "]}");
        }

        private synchronized void leave(HttpExchange exchange, String body) throws IOException {
            TreeMap<String, Long> members =
                    mGroups.computeIfAbsent(field(body, "group"), k -> new TreeMap<>());
            if (members.remove(field(body, "member")) != null) {
                mGenerations.merge(field(body, "group"), 1L, Long::sum);
            }
            json(exchange, 200, "{}");
        }

        private synchronized void owners(HttpExchange exchange) throws IOException {
            StringBuilder parts = new StringBuilder();
            TreeSet<String> all = new TreeSet<>();
            mGroups.values().forEach(members -> all.addAll(members.keySet()));
            int index = 0;
            for (String member : all) {
                parts.append(index == 0 ? "" : ",").append("[\"entries-0\",").append(index++)
                        .append(",\"").append(member).append("\",0]");
            }
            json(exchange, 200, "{\"parts\":[" + parts + "]}");
        }
    }

    // ---------------------------------------------------------------- HTTP

    /** The head and body of a message. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        int status() {
            String[] words = first.split(" ");
            return words.length > 1 ? Integer.parseInt(words[1]) : 0;
        }

        String id() {
            return header("X-Boragethread-Request-Id");
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.first = readLine(in);
        if (message.first == null) {
            return null;
        }
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, Math.max(colon, 0)).toLowerCase(),
                    line.substring(colon + 1).trim());
        }
        return line == null ? null : message;
    }

    /** Reads the body of a message; {@code response} if it may end with its connection. */
    static void readBody(InputStream in, Message message, boolean response) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (message.header("Transfer-Encoding").toLowerCase().contains("chunked")) {
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    message.body = body.toByteArray();
                    return;
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(length);
                body.write(chunk);
                if (chunk.length < length || readLine(in) == null) {
                    message.body = body.toByteArray();
                    return;
                }
                if (length == 0) {
                    break;
                }
            }
            message.complete = true;
        } else if (!message.header("Content-Length").isEmpty()) {
            int length = Integer.parseInt(message.header("Content-Length"));
            body.write(in.readNBytes(length));
            message.complete = body.size() == length;
        } else if (response && message.status() != 204 && message.status() != 304) {
            in.transferTo(body);
            message.complete = true;
        } else {
            message.complete = true;
        }
        message.body = body.toByteArray();
    }

    // ---------------------------------------------------------------- engine

    /** What an engine does with a request. */
    interface Work {
        void answer(Engine engine, Message request, OutputStream out) throws Exception;
    }

    /** A sound engine: answers health checks, and runs requests by {@link #work}. */
    final class Engine implements AutoCloseable {
        final String mService;
        final String mInstance;
        final ServerSocket mSocket;
        final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
        final Map<String, Message> mSeen = new ConcurrentHashMap<>();
        final List<Socket> mSockets = java.util.Collections.synchronizedList(new ArrayList<>());
        volatile Work work = Engine::echo;

        /** Bytes per second that each connection reads; 0 for as fast as possible. */
        volatile int mReadRate;

        private int mSeq;

        Engine(String service, String instance) throws IOException {
            mService = service;
            mInstance = instance;
            mSocket = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
            daemon("engine", this::accept);
        }

        String address() {
            return "127.0.0.1:" + mSocket.getLocalPort();
        }

        /** Announces the engine in the store. */
        void beat(String state) {
            mStore.put("keyed.servers", mInstance,
                    "{\"service\":\"" + mService + "\",\"address\":\"" + address()
                            + "\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":64,\"state\":\""
                            + state + "\",\"cold_left_ms\":0,\"seq\":" + (++mSeq) + "}");
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = mSocket.accept();
                mSockets.add(socket);
                daemon("engine", () -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in =
                        new java.io.BufferedInputStream(new SlowInput(socket.getInputStream()));
                OutputStream out = socket.getOutputStream();
                Message request;
                while ((request = readHead(in)) != null) {
                    readBody(in, request, false);
                    if (request.first.startsWith("GET /health")) {
                        out.write(
                                ("HTTP/1.1 200 OK\r\nX-Boragethread-Instance-Id: " + mInstance
                                                + "\r\nX-Boragethread-Server-Load: 0,0,64"
                                                + "\r\nContent-Length: 0\r\n\r\n")
                                        .getBytes());
                        continue;
                    }
                    if (request.id().isEmpty()) {
                        out.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes());
                        continue;
                    }
                    mRuns.computeIfAbsent(request.id(), k -> new AtomicInteger())
                            .incrementAndGet();
                    mSeen.put(request.id(), request);
                    note("engine %s runs %s: %s, %d bytes", mInstance, request.id(), request.first,
                            request.body.length);
                    work.answer(this, request, out);
                }
            }
        }

        /** Input that is read at the rate of the engine. */
        private final class SlowInput extends java.io.FilterInputStream {
            SlowInput(InputStream in) {
                super(in);
            }

            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                int rate = mReadRate;
                if (rate == 0) {
                    return super.read(bytes, offset, length);
                }
                int count = super.read(bytes, offset, Math.min(length, Math.max(1, rate / 20)));
                try {
                    Thread.sleep(50);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                return count;
            }
        }

        String head(Message request, int status, int length) {
            return "HTTP/1.1 " + status + " X\r\nX-Boragethread-Request-Id: " + request.id()
                    + "\r\nX-Boragethread-Response-Seal: seal-" + request.id()
                    + "\r\nContent-Type: text/plain\r\nContent-Length: " + length + "\r\n\r\n";
        }

        void echo(Message request, OutputStream out) throws IOException {
            byte[] body = ("run of " + request.id()).getBytes();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head(request, 200, body.length).getBytes());
            if (!request.first.startsWith("HEAD ")) {
                bytes.write(body);
            }
            out.write(bytes.toByteArray());
        }

        int runs(String id) {
            AtomicInteger runs = mRuns.get(id);
            return runs == null ? 0 : runs.get();
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
            synchronized (mSockets) {
                for (Socket socket : mSockets) {
                    socket.close();
                }
            }
        }
    }

    // ---------------------------------------------------------------- entry

    /** A process of the project, started with the command of the deploy file. */
    final class Entry implements AutoCloseable {
        final String mName;
        final int mPort = freePort();
        final int mReadyPort = freePort();
        final int mPeerPort = freePort();
        final int mMetricsPort = freePort();
        final Path mSettings;
        final Path mOutput;
        Process mProcess;

        Entry(String name) throws Exception {
            mName = name;
            mSettings = mFolder.resolve(name + ".toml");
            mOutput = mFolder.resolve(name + ".log");
            Files.writeString(mSettings, """
                [gateway]
                name = "%s"
                data_centre = "north"
                listen = "127.0.0.1:%d"
                readiness_listen = "127.0.0.1:%d"
                metrics_listen = "127.0.0.1:%d"
                peer_listen = "127.0.0.1:%d"
                store = "%s"
                store_partitions = 12
                [data_centres]
                "north" = "region-1"
                [vm]
                cpu_share = 0.57
                cores = 1
                [bounds]
                leave_ms = 2000
                revoke_ms = 5000
                stable_ms = 3000
                grace_s = 8
                [shares]
                retry_ratio = 0.2
                retry_slack = 58
                retry_window_s = 10
                cold_overshoot = 1.5
                cold_slack = 5
                [scheduling]
                platform_rules = "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages"
                """.formatted(name, mPort, mReadyPort, mMetricsPort, mPeerPort, mStore.address()));
            launch();
        }

        void launch() throws Exception {
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
            run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            List<String> command = new ArrayList<>(List.of(run.split(" ")));
            command.set(command.size() - 1, mSettings.toString());
            mProcess = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(mOutput.toFile()))
                    .start();
            note("entry %s starts, pid %d", mName, mProcess.pid());
        }

        /** Waits until the entry says that it is ready. */
        boolean awaitReady(int seconds) throws Exception {
            long end = System.nanoTime() + seconds * 1_000_000_000L;
            while (System.nanoTime() < end && mProcess.isAlive()) {
                if (ready() == 200) {
                    note("entry %s is ready", mName);
                    return true;
                }
                Thread.sleep(50);
            }
            return false;
        }

        int ready() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", mReadyPort), 1000);
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(
                        "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                Message message = readHead(socket.getInputStream());
                return message == null ? 0 : message.status();
            } catch (IOException e) {
                return 0;
            }
        }

        void signal(String name) throws Exception {
            note("entry %s gets SIG%s", mName, name);
            String command = "kill -" + name + " " + mProcess.pid();
            new ProcessBuilder("sh", "-c", command).start().waitFor();
        }

        Caller caller() throws IOException {
            return keep(new Caller(mPort, 0));
        }

        Caller caller(int receiveBuffer) throws IOException {
            return keep(new Caller(mPort, receiveBuffer));
        }

        /** Notes the first errors in the output of the process, and whether its event loop lives. */
        void noteErrors() throws Exception {
            int noted = 0;
            for (String line : Files.readAllLines(mOutput, StandardCharsets.ISO_8859_1)) {
                if (noted < 3 && line.contains("OutOfMemoryError")) {
                    note("entry %s: %s", mName, line.substring(0, Math.min(300, line.length())));
                    noted++;
                }
            }
            note("entry %s: alive %s, readiness %d", mName, mProcess.isAlive(), ready());
            if (!mProcess.isAlive()) {
                return;
            }
            try {
                Process stacks = new ProcessBuilder("jstack", Long.toString(mProcess.pid()))
                        .redirectErrorStream(true).start();
                String text = new String(stacks.getInputStream().readAllBytes());
                note("entry %s has an event loop thread: %s", mName,
                        text.contains("\"nioEventLoopGroup"));
            } catch (IOException e) {
                note("entry %s: its threads cannot be listed: %s", mName, e);
            }
        }

        String tail(int lines) throws IOException {
            List<String> all = Files.readAllLines(mOutput, StandardCharsets.ISO_8859_1);
            return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
        }

        @Override
        public void close() throws Exception {
            mProcess.destroy();
            // The grace period is 8 s.
            if (!mProcess.waitFor(10, TimeUnit.SECONDS)) {
                note("entry %s has not ended 10 s after SIGTERM", mName);
                mProcess.destroyForcibly().waitFor();
            }
        }
    }

    // ---------------------------------------------------------------- caller

    /** A caller's connection. */
    static final class Caller implements AutoCloseable {
        final Socket mSocket = new Socket();
        final InputStream mIn;
        final OutputStream mOut;

        Caller(int port, int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                mSocket.setReceiveBufferSize(receiveBuffer);
            }
            mSocket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            mSocket.setTcpNoDelay(true);
            mIn = new java.io.BufferedInputStream(mSocket.getInputStream());
            mOut = mSocket.getOutputStream();
        }

        static String head(String method, String path, String id, int length, String... more) {
            StringBuilder text = new StringBuilder()
                    .append(method).append(' ').append(path)
                    .append(" HTTP/1.1\r\nHost: a.example\r\nX-Boragethread-Request-Id: ").append(id)
                    .append("\r\nAuthorization: Token ").append(KEY).append("\r\n");
            for (String line : more) {
                text.append(line).append("\r\n");
            }
            if (length >= 0) {
                text.append("Content-Length: ").append(length).append("\r\n");
            }
            return text.append("\r\n").toString();
        }

        void send(String text) throws IOException {
            mOut.write(text.getBytes(StandardCharsets.ISO_8859_1));
            mOut.flush();
        }

        /** Reads the next answer; null at the end of the connection. */
        Message read(int timeoutMs, boolean headOnly) throws IOException {
            mSocket.setSoTimeout(timeoutMs);
            Message message = readHead(mIn);
            if (message != null && !headOnly) {
                readBody(mIn, message, true);
            } else if (message != null) {
                message.complete = true;
            }
            return message;
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }

    static String route(String name, String prefix, String kind, String service, String more) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"a.example\",\"path_prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"service\":\"" + service
                + "\",\"max_attempts\":1,\"public\":false,\"sticky\":false,\"can_resume\":false"
                + more + "}";
    }

    static String config(int version, String routes, String... services) {
        StringBuilder text = new StringBuilder("{\"version\":").append(version)
                .append(",\"routes\":[").append(routes).append("],\"services\":[");
        String separator = "";
        for (String service : services) {
            text.append(separator).append("{\"name\":\"").append(service)
                    .append("\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\","
                            + "\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}");
            separator = ",";
        }
        return text.append("],\"limits\":{\"header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
                + "\"tenant-1\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}").toString();
    }

    void putConfig(String config) {
        mStore.put("keyed.op", "config", config);
    }
}
