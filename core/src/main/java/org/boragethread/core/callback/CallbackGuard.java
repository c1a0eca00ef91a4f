package org.boragethread.core.callback;

/**
 * Runs callbacks, and tells the owner of a callback that throws. A callback that is bound while
 * another one runs has the owner of that one. Confined to one thread.
 */
public final class CallbackGuard {

    private final Owner mProcess;
    private Owner mCurrent;

    /** What callbacks act for, for example a request. */
    public interface Owner {

        /** Called when a callback threw; ends what it acted for, if that has not ended. */
        void onCallbackFailed(Throwable cause);
    }

    /**
     * Creates a guard.
     *
     * @param process owner of callbacks that act for no other owner, or for one that fails itself
     */
    public CallbackGuard(Owner process) {
        mProcess = process;
        mCurrent = process;
    }

    /** Returns the owner of the callback that runs now. */
    public Owner current() {
        return mCurrent;
    }

    /** Returns a task that runs a callback for the present owner. */
    public Runnable bind(Runnable callback) {
        Owner owner = mCurrent;
        return () -> run(owner, callback);
    }

    /**
     * Runs a callback for an owner.
     *
     * @return whether it returned without an exception
     */
    public boolean run(Owner owner, Runnable callback) {
        Owner previous = mCurrent;
        mCurrent = owner;
        try {
            callback.run();
            return true;
        } catch (RuntimeException | Error e) {
            report(owner, e);
            return false;
        } finally {
            mCurrent = previous;
        }
    }

    private void report(Owner owner, Throwable cause) {
        try {
            owner.onCallbackFailed(cause);
        } catch (RuntimeException | Error e) {
            e.addSuppressed(cause);
            mProcess.onCallbackFailed(e);
        }
    }
}
