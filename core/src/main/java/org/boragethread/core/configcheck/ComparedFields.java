package org.boragethread.core.configcheck;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.routing.CallerBounds;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.routing.KeyHolder;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutedGroup;

/** The fields by which objects of two configurations are compared, and how they are read. */
final class ComparedFields {

    static final Map<Place, Function<Route, Object>> ROUTE = route();
    static final Map<Place, Function<RoutedGroup, Object>> GROUP = group();
    static final Map<Place, Function<CallerBounds, Object>> BOUNDS = bounds();
    static final Map<Place, Function<KeyHolder, Object>> KEY_HOLDER = keyHolder();

    private ComparedFields() {}

    private static Map<Place, Function<Route, Object>> route() {
        Map<Place, Function<Route, Object>> fields = new LinkedHashMap<>();
        fields.put(Place.of(Field.HOST), Route::host);
        fields.put(Place.of(Field.PATH_PREFIX), Route::pathPrefix);
        fields.put(Place.of(Field.KIND), Route::kind);
        fields.put(Place.of(Field.TIMEOUT), Route::timeout);
        fields.put(Place.of(Field.TARGET_LATENCY), Route::targetLatency);
        fields.put(Place.of(Field.TARGET_GAP), Route::targetGap);
        fields.put(Place.of(Field.PRIORITY), Route::priority);
        fields.put(Place.of(Field.WEIGHTED_GROUPS), Route::groups);
        fields.put(Place.of(Field.MAX_ATTEMPTS), Route::maxAttempts);
        fields.put(Place.of(Field.STAGES), Route::stages);
        fields.put(Place.of(Field.PUBLIC_ACCESS), Route::publicAccess);
        fields.put(Place.of(Field.STICKY), Route::sticky);
        fields.put(Place.of(Field.RESUMABLE), Route::resumable);
        fields.put(Place.of(Field.REGIONS), Route::regions);
        return fields;
    }

    private static Map<Place, Function<RoutedGroup, Object>> group() {
        Map<Place, Function<RoutedGroup, Object>> fields = new LinkedHashMap<>();
        fields.put(Place.of(Field.HEALTH_PATH), RoutedGroup::healthPath);
        fields.put(Place.of(Field.MAX_CONNECTIONS), RoutedGroup::maxConnections);
        fields.put(Place.of(Field.COLD_TIME), RoutedGroup::coldTime);
        fields.put(Place.of(Field.COLD_RATE), RoutedGroup::coldRate);
        putEngine(fields, Field.SLOTS, EngineLimits::slots);
        putEngine(fields, Field.CACHE_TOKENS, EngineLimits::cacheTokens);
        putBatch(fields, Field.SLOTS, BatchLimits::slots);
        putBatch(fields, Field.QUEUE, BatchLimits::queue);
        putBatch(fields, Field.BATCH, BatchLimits::batch);
        putBatch(fields, Field.CALL_TIME, BatchLimits::callTime);
        putBatch(fields, Field.PIECE_TIME, BatchLimits::pieceTime);
        putBatch(fields, Field.RESULT_MEMORY, BatchLimits::resultBytes);
        putBatch(fields, Field.RESULT_TIME, BatchLimits::resultTime);
        return fields;
    }

    private static void putEngine(
            Map<Place, Function<RoutedGroup, Object>> fields,
            Field field,
            Function<EngineLimits, Object> reader) {
        fields.put(Place.of(Field.ENGINE).at(field), group -> group.engine().map(reader));
    }

    private static void putBatch(
            Map<Place, Function<RoutedGroup, Object>> fields,
            Field field,
            Function<BatchLimits, Object> reader) {
        fields.put(Place.of(Field.BATCH_LIMITS).at(field), group -> group.batch().map(reader));
    }

    private static Map<Place, Function<CallerBounds, Object>> bounds() {
        Map<Place, Function<CallerBounds, Object>> fields = new LinkedHashMap<>();
        fields.put(Place.of(Field.HEADER_BYTES), CallerBounds::headerBytes);
        fields.put(Place.of(Field.BODY_BYTES), CallerBounds::bodyBytes);
        fields.put(Place.of(Field.HEADER_TIMEOUT), CallerBounds::headerTimeout);
        fields.put(Place.of(Field.IDLE_TIMEOUT), CallerBounds::idleTimeout);
        return fields;
    }

    private static Map<Place, Function<KeyHolder, Object>> keyHolder() {
        Map<Place, Function<KeyHolder, Object>> fields = new LinkedHashMap<>();
        fields.put(Place.of(Field.NAME), KeyHolder::team);
        fields.put(Place.of(Field.PRIORITY), KeyHolder::priority);
        return fields;
    }
}
