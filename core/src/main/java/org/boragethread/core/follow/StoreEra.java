package org.boragethread.core.follow;

/**
 * Number of the copy of its records that the store works with. It changes when the store comes back
 * from an older copy: offsets then go back and are given out again, so that offsets of different
 * eras must not be compared.
 *
 * @param number number that the store sends; 0 if it sent none
 */
public record StoreEra(long number) {

    /** The store did not say which copy it works with. */
    public static final StoreEra UNKNOWN = new StoreEra(0);

    /** Returns this era, or the other one if this one is not known. */
    public StoreEra orIfUnknown(StoreEra other) {
        return number == 0 ? other : this;
    }

    /** Returns whether the store certainly worked with different copies. */
    public boolean differsFrom(StoreEra other) {
        return number != other.number && number != 0 && other.number != 0;
    }
}
