package org.boragethread.standins.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.boragethread.standins.http.BadRequestException;
import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.ExchangeHandler;
import org.boragethread.standins.http.Json;
import org.boragethread.standins.http.StandInResponse;
import org.boragethread.standins.platform.AppendRequest.NewRecord;

/** HTTP interface of the platform's stand-in. */
final class PlatformHandler implements ExchangeHandler {

    private static final Pattern RECORDS = Pattern.compile("/v1/streams/([A-Za-z0-9._-]+)/records");
    private static final int MAX_DATA_BYTES = 256 * 1024;
    private static final int DEFAULT_MAX_RECORDS = 500;
    private static final long MAX_WAIT_MS = 60_000;
    private static final StandInResponse UNAVAILABLE =
            StandInResponse.text(503, "out of service").with("Retry-After", "1");

    private final PlatformStandIn mPlatform;

    PlatformHandler(PlatformStandIn platform) {
        mPlatform = platform;
    }

    @Override
    public void handle(Exchange exchange) {
        Matcher records = RECORDS.matcher(exchange.path());
        if (records.matches()) {
            handleLogCall(exchange, records.group(1));
            return;
        }
        switch (exchange.path()) {
            case "/v1/vms" -> handleVmList(exchange);
            case "/control" -> handleFaults(exchange);
            case "/control/expire" -> handleExpire(exchange);
            case "/control/vms" -> handleSetVms(exchange);
            case "/stats" -> exchange.respond(StandInResponse.json(200, mPlatform.stats()));
            case "/readyz" -> exchange.respond(StandInResponse.text(200, "ready"));
            default ->
                    exchange.respond(StandInResponse.text(404, "no such path: " + exchange.path()));
        }
    }

    private void handleLogCall(Exchange exchange, String stream) {
        PlatformFaults faults = mPlatform.faults();
        if (faults.hang()) {
            return;
        }
        if (faults.down()) {
            exchange.respond(UNAVAILABLE);
            return;
        }
        if ("POST".equals(exchange.method())) {
            List<NewRecord> records = parseAppend(exchange);
            mPlatform.runAfter(faults.delayMs(), () -> append(exchange, stream, records));
            return;
        }
        long from = exchange.queryLong("from", 0);
        int max = (int) exchange.queryLong("max", DEFAULT_MAX_RECORDS);
        long waitMs = Math.min(MAX_WAIT_MS, exchange.queryLong("waitMs", 0));
        mPlatform.runAfter(faults.delayMs(), () -> read(exchange, stream, from, max, waitMs));
    }

    private static List<NewRecord> parseAppend(Exchange exchange) {
        List<NewRecord> records = Json.read(exchange.body(), AppendRequest.class).records();
        if (records == null || records.isEmpty()) {
            throw new BadRequestException("append holds no records", null);
        }
        for (NewRecord record : records) {
            if (record.id() == null || record.data() == null) {
                throw new BadRequestException("record has no id or no data", null);
            }
            if (record.data().length > MAX_DATA_BYTES) {
                throw new BadRequestException(
                        "record \"%s\" holds more than 256 KiB".formatted(record.id()), null);
            }
        }
        return records;
    }

    private void append(Exchange exchange, String stream, List<NewRecord> records) {
        if (!mPlatform.tryAcquireAppend()) {
            exchange.respond(UNAVAILABLE);
            return;
        }
        List<Long> offsets = mPlatform.append(stream, records, exchange.body().length);
        PlatformFaults faults = mPlatform.faults();
        if (mPlatform.withProbability(faults.loseAnswers())) {
            mPlatform.countLostResponse();
            exchange.abort();
            return;
        }
        StandInResponse answer = StandInResponse.json(200, new Offsets(offsets));
        long lateMs = mPlatform.withProbability(faults.lateAnswers()) ? faults.lateMs() : 0;
        mPlatform.runAfter(lateMs, () -> exchange.respond(answer));
    }

    private void read(Exchange exchange, String stream, long from, int max, long waitMs) {
        if (waitMs <= 0) {
            respondToRead(exchange, stream, from, max);
            return;
        }
        CompletableFuture<Void> record = mPlatform.stream(stream).awaitRecord(from);
        record.completeOnTimeout(null, waitMs, TimeUnit.MILLISECONDS)
                .thenRun(() -> respondToRead(exchange, stream, from, max));
    }

    private void respondToRead(Exchange exchange, String stream, long from, int max) {
        PlatformFaults faults = mPlatform.faults();
        if (faults.hang()) {
            return;
        }
        if (faults.down()) {
            exchange.respond(UNAVAILABLE);
            return;
        }
        ReadResult result = mPlatform.read(stream, from, max);
        StandInResponse answer =
                result.expired()
                        ? StandInResponse.json(
                                410, new RetainedRange(result.first(), result.next()))
                        : StandInResponse.json(200, result);
        mPlatform.countRead(answer.body().length);
        exchange.respond(answer);
    }

    private void handleVmList(Exchange exchange) {
        boolean down = mPlatform.faults().vmListDown();
        exchange.respond(down ? UNAVAILABLE : StandInResponse.json(200, mPlatform.vms()));
    }

    private void handleFaults(Exchange exchange) {
        if ("POST".equals(exchange.method())) {
            PlatformFaults current = mPlatform.faults();
            mPlatform.setFaults(Json.merge(current, exchange.body(), PlatformFaults.class));
        }
        exchange.respond(StandInResponse.json(200, mPlatform.faults()));
    }

    private void handleExpire(Exchange exchange) {
        Expire expire = Json.read(exchange.body(), Expire.class);
        mPlatform.expireBefore(expire.stream(), expire.before());
        exchange.respond(StandInResponse.json(200, expire));
    }

    private void handleSetVms(Exchange exchange) {
        Vms list = Json.read(exchange.body(), Vms.class);
        mPlatform.setVms(list.vms());
        exchange.respond(StandInResponse.json(200, list));
    }

    /** Response to an append. */
    private record Offsets(List<Long> offsets) {}

    /** Response to a read below the oldest retained offset. */
    private record RetainedRange(long first, long next) {}

    /** Request body of {@code /control/expire}. */
    private record Expire(String stream, long before) {}

    /** Request body of {@code /control/vms}. */
    private record Vms(List<Vm> vms) {}
}
