package org.boragethread.core.config;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.function.Function;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Intent;
import org.boragethread.model.config.Plan;
import org.boragethread.model.config.PlanId;

/**
 * Serializes and parses intents, plans, log records and complete configurations. Equal values have
 * equal bytes. Unknown fields are rejected.
 */
public final class ConfigCodec {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();
    private static final byte HEADER_END = '\n';
    private static final String KIND = "kind";
    private static final String PLAN = "plan";
    private static final String SNAPSHOT = "snapshot";
    private static final byte[] SNAPSHOT_PREFIX =
            "{\"kind\":\"snapshot\"".getBytes(StandardCharsets.UTF_8);

    private ConfigCodec() {}

    /** Reads an intent from JSON, as submitted by an operator. */
    public static Either<ConfigError, Intent> readIntent(byte[] json) {
        return parse(json).flatMap(ConfigCodec::readIntent);
    }

    /** Reads an intent from a tree, which may have been parsed from JSON or TOML. */
    public static Either<ConfigError, Intent> readIntent(JsonNode tree) {
        return read(tree, PlanCodec::readIntent);
    }

    /** Writes an intent as JSON. */
    public static byte[] writeIntent(Intent intent) {
        return toBytes(PlanCodec.write(intent));
    }

    /** Reads a plan from JSON and verifies its digest. */
    public static Either<ConfigError, Plan> readPlan(byte[] json) {
        return parse(json)
                .flatMap(t -> read(t, PlanCodec::readPlan))
                .flatMap(ConfigCodec::verifyDigest);
    }

    /** Writes a plan as JSON. */
    public static byte[] writePlan(Plan plan) {
        return toBytes(PlanCodec.write(plan));
    }

    /** Returns the digest of a plan's content, regardless of the plan's current identifier. */
    public static PlanId digestOf(Plan plan) {
        return new PlanId(HexFormat.of().formatHex(sha256(toBytes(PlanCodec.writeContent(plan)))));
    }

    /** Reads a record of the configuration stream. */
    public static Either<ConfigError, ConfigRecord> readRecord(byte[] data) {
        int end = indexOf(data, HEADER_END);
        byte[] header = end < 0 ? data : Arrays.copyOf(data, end);
        byte[] payload = end < 0 ? new byte[0] : Arrays.copyOfRange(data, end + 1, data.length);
        return parse(header).flatMap(t -> read(t, f -> parseRecord(f, payload)));
    }

    /** Returns whether a record may be a part of a snapshot, judging only by its first bytes. */
    static boolean looksLikeSnapshot(byte[] data) {
        int length = Math.min(data.length, SNAPSHOT_PREFIX.length);
        return Arrays.equals(data, 0, length, SNAPSHOT_PREFIX, 0, SNAPSHOT_PREFIX.length);
    }

    /** Writes a record of the configuration stream. */
    public static byte[] writeRecord(ConfigRecord record) {
        if (record instanceof ConfigRecord.Confirmation c) {
            ObjectNode node = ObjectCodec.newNode().put(KIND, PLAN);
            return toBytes(node.set(PLAN, PlanCodec.write(c.plan())));
        }
        ConfigSnapshotPart part = ((ConfigRecord.SnapshotPart) record).part();
        byte[] header =
                toBytes(
                        ObjectCodec.newNode()
                                .put(KIND, SNAPSHOT)
                                .put("revision", part.revision())
                                .put("part", part.part())
                                .put("parts", part.parts())
                                .put("contentHash", part.contentHash()));
        byte[] result = Arrays.copyOf(header, header.length + 1 + part.data().length);
        result[header.length] = HEADER_END;
        System.arraycopy(part.data(), 0, result, header.length + 1, part.data().length);
        return result;
    }

    /** Writes a complete configuration as JSON. */
    public static byte[] writeConfiguration(Configuration configuration) {
        return toBytes(SnapshotCodec.write(configuration));
    }

    /** Reads a complete configuration from JSON. */
    public static Either<ConfigError, Configuration> readConfiguration(byte[] json) {
        return parse(json).flatMap(t -> read(t, SnapshotCodec::readConfiguration));
    }

    /** Returns the hash of a configuration that has been written as JSON. */
    public static long hashOf(byte[] json) {
        return Hashing.komihash5_0().hashBytesToLong(json);
    }

    /** Returns the hash of a configuration; equal configurations have equal hashes. */
    public static long hashOf(Configuration configuration) {
        return hashOf(writeConfiguration(configuration));
    }

    private static ConfigRecord parseRecord(JsonFields fields, byte[] payload) {
        String kind = fields.string(KIND);
        if (kind.equals(PLAN)) {
            Plan plan = fields.object(PLAN).read(PlanCodec::readPlan);
            Either<ConfigError, Plan> checked = verifyDigest(plan);
            if (checked.isLeft()) {
                throw new InvalidDocumentException(
                        checked.getLeft().kind(), checked.getLeft().detail());
            }
            return new ConfigRecord.Confirmation(plan);
        }
        if (kind.equals(SNAPSHOT)) {
            return new ConfigRecord.SnapshotPart(
                    new ConfigSnapshotPart(
                            fields.longInteger("revision"),
                            fields.integer("part"),
                            fields.integer("parts"),
                            payload,
                            fields.longInteger("contentHash")));
        }
        throw new IllegalArgumentException("unknown record kind \"%s\"".formatted(kind));
    }

    private static Either<ConfigError, Plan> verifyDigest(Plan plan) {
        if (digestOf(plan).equals(plan.id())) {
            return Either.right(plan);
        }
        return Either.left(
                new ConfigError(
                        ConfigError.Kind.DIGEST,
                        "the plan for intent \"%s\" does not match its digest"
                                .formatted(plan.intent().id())));
    }

    private static Either<ConfigError, JsonNode> parse(byte[] json) {
        try {
            return Either.right(MAPPER.readTree(json));
        } catch (JsonProcessingException e) {
            return malformed("invalid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return malformed("invalid JSON: " + e.getMessage());
        }
    }

    private static <T> Either<ConfigError, T> read(JsonNode tree, Function<JsonFields, T> reader) {
        try {
            return Either.right(new JsonFields(tree, "").read(reader));
        } catch (InvalidDocumentException e) {
            return Either.left(e.error());
        }
    }

    private static <T> Either<ConfigError, T> malformed(String detail) {
        return Either.left(new ConfigError(ConfigError.Kind.MALFORMED, detail));
    }

    private static byte[] toBytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    private static int indexOf(byte[] data, byte target) {
        for (int i = 0; i < data.length; i++) {
            if (data[i] == target) {
                return i;
            }
        }
        return -1;
    }

    private static byte[] sha256(byte[] data) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(data);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
