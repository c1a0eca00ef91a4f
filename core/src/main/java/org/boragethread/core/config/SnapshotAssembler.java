package org.boragethread.core.config;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.boragethread.model.config.Configuration;

/**
 * Joins the parts of snapshots. It holds one incomplete snapshot, which is discarded when a part of
 * another snapshot arrives. Not thread-safe.
 */
public final class SnapshotAssembler {

    private String mSource = "";
    private ConfigSnapshotPart[] mParts = new ConfigSnapshotPart[0];
    private int mMissing;

    /**
     * Adds a part.
     *
     * @param source identifies the writer of the snapshot; parts of different writers are never
     *     joined
     * @return the configuration or an error once all parts have been added, empty before
     */
    public Optional<Either<ConfigError, Configuration>> add(
            String source, ConfigSnapshotPart part) {
        if (!belongs(source, part)) {
            start(source, part);
        }
        if (mParts[part.part()] == null) {
            mParts[part.part()] = part;
            mMissing--;
        }
        if (mMissing > 0) {
            return Optional.empty();
        }
        List<ConfigSnapshotPart> parts = List.of(mParts);
        reset();
        return Optional.of(SnapshotFormat.join(parts));
    }

    /** Discards the incomplete snapshot. */
    public void reset() {
        mSource = "";
        mParts = new ConfigSnapshotPart[0];
        mMissing = 0;
    }

    private boolean belongs(String source, ConfigSnapshotPart part) {
        Optional<ConfigSnapshotPart> anyPart =
                Arrays.stream(mParts).filter(p -> p != null).findFirst();
        return source.equals(mSource)
                && mParts.length == part.parts()
                && anyPart.isPresent()
                && anyPart.get().revision() == part.revision()
                && anyPart.get().contentHash() == part.contentHash();
    }

    private void start(String source, ConfigSnapshotPart part) {
        mSource = source;
        mParts = new ConfigSnapshotPart[part.parts()];
        mMissing = part.parts();
    }
}
