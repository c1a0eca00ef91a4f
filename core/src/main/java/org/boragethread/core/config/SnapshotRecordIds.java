package org.boragethread.core.config;

/** Record IDs of snapshot parts, in the format {@code snapshot-WRITER-REVISION-PART}. */
final class SnapshotRecordIds {

    private SnapshotRecordIds() {}

    static String of(String writer, ConfigSnapshotPart part) {
        return "snapshot-%s-%d-%d".formatted(writer, part.revision(), part.part());
    }

    /** Returns the prefix of the record ID that is common to all parts of one snapshot. */
    static String commonPrefix(String recordId) {
        int end = recordId.lastIndexOf('-');
        return end < 0 ? recordId : recordId.substring(0, end);
    }
}
