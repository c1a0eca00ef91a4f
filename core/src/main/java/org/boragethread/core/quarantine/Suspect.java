package org.boragethread.core.quarantine;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.upstream.GroupId;

/**
 * What may crash the upstreams of one group; those of another group may run it soundly.
 *
 * @param group group of the upstreams
 * @param kind whether it is a part of prompts or a whole request
 * @param id ID of the part, or fingerprint of the request
 */
public record Suspect(GroupId group, Kind kind, long id) {

    private static final int HEX_RADIX = 16;

    /** Kinds of suspects. */
    public enum Kind {
        /** A part that several prompts may have. */
        PART("", 5, 5, 1),
        /** A request that callers may send several times, whatever its prompt. */
        REQUEST("request-", 3, 4, 0.5),
        /** A request that callers may send several times with the same prompt. */
        PROMPTED_REQUEST("prompted-request-", 3, 4, 0.5);

        private final String mPrefix;
        private final int mConclusiveCrashes;
        private final int mConfirmedCrashes;
        private final double mProvisionalShare;

        /**
         * Creates a kind.
         *
         * @param prefix what precedes the ID in the name
         * @param conclusiveCrashes crashes that are conclusive if two of them followed one another
         * @param confirmedCrashes crashes that are too many to be a coincidence
         * @param provisionalShare length of a block before that, as a share of the whole one
         */
        Kind(String prefix, int conclusiveCrashes, int confirmedCrashes, double provisionalShare) {
            mPrefix = prefix;
            mConclusiveCrashes = conclusiveCrashes;
            mConfirmedCrashes = confirmedCrashes;
            mProvisionalShare = provisionalShare;
        }

        int conclusiveCrashes() {
            return mConclusiveCrashes;
        }

        int confirmedCrashes() {
            return mConfirmedCrashes;
        }

        Duration provisionalBlock(Duration whole) {
            return Duration.ofNanos((long) (whole.toNanos() * mProvisionalShare));
        }
    }

    /** Returns a part of prompts as a suspect. */
    public static Suspect part(GroupId group, long id) {
        return new Suspect(group, Kind.PART, id);
    }

    /** Returns a request as a suspect. */
    public static Suspect request(GroupId group, long fingerprint) {
        return new Suspect(group, Kind.REQUEST, fingerprint);
    }

    /** Returns a request with its prompt as a suspect. */
    public static Suspect promptedRequest(GroupId group, long fingerprint) {
        return new Suspect(group, Kind.PROMPTED_REQUEST, fingerprint);
    }

    /** Returns the suspect of a group that has a name; empty if none can have it. */
    public static Optional<Suspect> parse(GroupId group, String name) {
        for (Kind kind : Kind.values()) {
            if (!name.startsWith(kind.mPrefix)) {
                continue;
            }
            String digits = name.substring(kind.mPrefix.length());
            try {
                long id = Long.parseUnsignedLong(digits, HEX_RADIX);
                return Optional.of(new Suspect(group, kind, id));
            } catch (NumberFormatException e) {
                // The name may be that of another kind.
                continue;
            }
        }
        return Optional.empty();
    }

    /** Returns whether this is a whole request. */
    public boolean isRequest() {
        return kind != Kind.PART;
    }

    /** Returns whether one request can have both. */
    boolean isCompatible(Suspect other) {
        return equals(other) || !isRequest() || kind != other.kind;
    }

    /** Returns the hexadecimal ID, with a prefix for whole requests. */
    public String name() {
        return kind.mPrefix + Long.toHexString(id);
    }

    /** Returns the group and the name, as {@code group/name}. */
    @Override
    public String toString() {
        return group.value() + "/" + name();
    }
}
