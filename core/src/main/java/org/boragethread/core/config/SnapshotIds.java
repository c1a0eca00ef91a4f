package org.boragethread.core.config;

/** Record ids of snapshot parts: {@code snapshot-WRITER-REVISION-PART}. */
final class SnapshotIds {

    private SnapshotIds() {}

    static String of(String writer, ConfigSnapshot part) {
        return "snapshot-%s-%d-%d".formatted(writer, part.revision(), part.part());
    }

    /** Returns the part of the id that all parts of one snapshot share. */
    static String source(String recordId) {
        int end = recordId.lastIndexOf('-');
        return end < 0 ? recordId : recordId.substring(0, end);
    }
}
