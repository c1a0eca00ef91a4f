package org.boragethread.core.upstream;

import java.util.Optional;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.SoftwareVersion;

/**
 * The run of an upstream that processes one call, as far as announcements tell which software it
 * is. Not thread-safe.
 */
public final class CalledRun {

    private final UpstreamDirectory mDirectory;
    private final UpstreamNode mNode;
    private final UpstreamAnnouncement mCalled;
    private final Optional<Long> mCalledUnreadAt;
    private Optional<Long> mDoubtedAt;

    /**
     * Creates the run of an upstream that is about to be called.
     *
     * @param now monotonic time in nanoseconds
     */
    public CalledRun(UpstreamDirectory directory, UpstreamNode node, long now) {
        mDirectory = directory;
        mNode = node;
        mCalled = node.entry();
        mDoubtedAt = doubtedAt();
        mCalledUnreadAt = directory.isOutdated() ? Optional.of(now) : Optional.empty();
    }

    /** Called when the upstream begins to respond; from then on it cannot start again unnoticed. */
    public void onResponse() {
        mDoubtedAt = doubtedAt().or(() -> mDoubtedAt);
    }

    private Optional<Long> doubtedAt() {
        return mNode.doubtedAt().or(mDirectory::unsettledSince);
    }

    /** Returns the announcement of the upstream when it was called. */
    public UpstreamAnnouncement calledEntry() {
        return mCalled;
    }

    /**
     * Returns the version of the software that processes the call; empty if it is not certain, for
     * example because the upstream has announced another run since it was called.
     */
    public Optional<SoftwareVersion> softwareVersion() {
        return isDoubted() ? Optional.empty() : announcedVersion();
    }

    /**
     * Returns the version of the announcement when the upstream was called, which may be outdated;
     * empty if the upstream has announced another run since.
     */
    public Optional<SoftwareVersion> announcedVersion() {
        return isSameSoftware() ? mCalled.softwareVersion() : Optional.empty();
    }

    /** Returns whether later announcements may make the version certain. */
    public boolean isPending() {
        if (mCalled.softwareVersion().isEmpty() || !mNode.isListed()) {
            return false;
        }
        return isSameSoftware() ? isDoubted() : isReplacedByEarlierRun();
    }

    private boolean isDoubted() {
        return mDoubtedAt.filter(at -> !mNode.isConfirmedSince(at)).isPresent()
                || mCalledUnreadAt.filter(at -> !mNode.isReadSince(at)).isPresent();
    }

    private boolean isSameSoftware() {
        UpstreamAnnouncement latest = mNode.entry();
        return latest.isSameIncarnation(mCalled)
                && latest.softwareVersion().equals(mCalled.softwareVersion());
    }

    /** An older copy of the store may bring back an earlier announcement for a while. */
    private boolean isReplacedByEarlierRun() {
        UpstreamAnnouncement latest = mNode.entry();
        boolean isEarlier =
                latest.startedMillis().orElse(Long.MAX_VALUE)
                        < mCalled.startedMillis().orElse(Long.MIN_VALUE);
        return isEarlier
                && latest.address().equals(mCalled.address())
                && mNode.doubtedAt().isPresent();
    }
}
