package org.boragethread.entry.serve;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.boragethread.core.job.JobCheckpointer;
import org.boragethread.core.job.JobPipeline;
import org.boragethread.core.job.JobRunner;
import org.boragethread.core.job.JobService;
import org.boragethread.core.job.JobSettings;
import org.boragethread.core.log.BatchingAppender;
import org.boragethread.core.record.LogRecordStore;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.place.EntryId;

/** Follows the job stream of an entry, and contains its job service, runner and checkpointer. */
final class JobStream {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    // Competing entries are resolved by the order of records in the log, so that the set of live
    // entries need not be known.
    private static final Supplier<Set<EntryId>> NO_OTHER_ENTRIES = Set::of;

    private final Scheduler mScheduler;
    private final JobService mService;
    private final JobRunner mRunner;
    private final JobCheckpointer mCheckpointer;
    private final FollowedStream mStream;
    private volatile boolean mStopped;

    JobStream(LogAccess access, JobSettings settings, EntryId entry, JobPipeline pipeline) {
        mScheduler = access.scheduler();
        String name = JobSettings.STREAM;
        BatchingAppender appender = FollowedStream.appender(access, name);
        LogRecordStore log = new LogRecordStore(access.log(), Map.of(name, appender));
        mService =
                JobService.builder()
                        .entry(entry)
                        .settings(settings)
                        .sink(log)
                        .source(log)
                        .scheduler(mScheduler)
                        .time(access.time())
                        .build();
        mRunner = new JobRunner(mService, pipeline, mScheduler, access.time(), NO_OTHER_ENTRIES);
        mCheckpointer = new JobCheckpointer(mService, mScheduler, NO_OTHER_ENTRIES);
        mStream = FollowedStream.of(access, name, appender, mService);
    }

    void start() {
        mStream.start();
        startRunnerWhenCaughtUp();
    }

    private void startRunnerWhenCaughtUp() {
        if (mStopped) {
            return;
        }
        if (mStream.isCaughtUp()) {
            mRunner.start();
            mCheckpointer.start();
        } else {
            mScheduler.schedule(POLL_INTERVAL, this::startRunnerWhenCaughtUp);
        }
    }

    /** Stops acquiring jobs; running jobs continue until the process exits. */
    void stopAcquiring() {
        mStopped = true;
        mRunner.stop();
        mCheckpointer.stop();
    }

    void stop() {
        stopAcquiring();
        mStream.stop();
    }

    JobService service() {
        return mService;
    }

    /** Returns the number of jobs running on this entry. */
    int running() {
        return mRunner.running();
    }

    boolean isCaughtUp() {
        return mStream.isCaughtUp();
    }

    /** Tells whether the stream has been read to its end once or is failing. */
    boolean isCaughtUpOrFailing() {
        return mStream.isCaughtUpOrFailing();
    }
}
