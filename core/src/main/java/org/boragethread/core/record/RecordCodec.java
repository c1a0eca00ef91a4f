package org.boragethread.core.record;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.boragethread.model.job.JobId;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Encodes a record as one line of JSON, a line feed and the raw payload. This stores payloads
 * without the overhead of a text encoding.
 *
 * @param <T> sealed root type of the records
 */
public final class RecordCodec<T> {

    private static final byte HEADER_TERMINATOR = '\n';

    private final ObjectMapper mMapper;
    private final Class<T> mType;

    /** Creates a codec for the subtypes that are named by the annotations of the root type. */
    public RecordCodec(Class<T> type) {
        mType = type;
        mMapper =
                JsonMapper.builder()
                        .addModule(new Jdk8Module())
                        .serializationInclusion(JsonInclude.Include.NON_DEFAULT)
                        .addMixIn(JobId.class, StringIdMixIn.class)
                        .addMixIn(EntryId.class, StringIdMixIn.class)
                        .addMixIn(UpstreamId.class, StringIdMixIn.class)
                        .addMixIn(TeamId.class, StringIdMixIn.class)
                        .addMixIn(PipelineId.class, StringIdMixIn.class)
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .build();
    }

    /** Encodes a record without a payload. */
    public byte[] encode(T header) {
        return encode(header, new byte[0]);
    }

    /** Encodes a record and its payload. */
    public byte[] encode(T header, byte[] payload) {
        byte[] line = headerBytes(header);
        byte[] data = Arrays.copyOf(line, line.length + 1 + payload.length);
        data[line.length] = HEADER_TERMINATOR;
        System.arraycopy(payload, 0, data, line.length + 1, payload.length);
        return data;
    }

    private byte[] headerBytes(T header) {
        try {
            return mMapper.writerFor(mType)
                    .writeValueAsString(header)
                    .getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode record header " + header, e);
        }
    }

    /**
     * Decodes a record.
     *
     * @return the record, or empty if the data cannot be decoded by this codec
     */
    public Optional<Decoded<T>> decode(byte[] data) {
        int end = indexOfHeaderEnd(data);
        if (end < 0) {
            return Optional.empty();
        }
        try {
            T header = mMapper.readValue(data, 0, end, mType);
            return Optional.ofNullable(header).map(h -> new Decoded<>(h, data, end + 1));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static int indexOfHeaderEnd(byte[] data) {
        for (int i = 0; i < data.length; i++) {
            if (data[i] == HEADER_TERMINATOR) {
                return i;
            }
        }
        return -1;
    }

    private abstract static class StringIdMixIn {

        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        StringIdMixIn(String value) {}

        @JsonValue
        abstract String value();
    }

    /**
     * A decoded record.
     *
     * @param header the typed header
     * @param data the complete encoded record
     * @param payloadStart index of the first byte of the payload
     */
    public record Decoded<T>(T header, byte[] data, int payloadStart) {

        /** Returns a copy of the payload. */
        public byte[] payload() {
            return Arrays.copyOfRange(data, payloadStart, data.length);
        }
    }
}
