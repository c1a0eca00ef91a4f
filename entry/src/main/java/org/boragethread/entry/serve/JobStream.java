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

/** The job stream of an entry, the service that works on it, and what runs the jobs. */
final class JobStream {

    private static final Duration POLL = Duration.ofMillis(50);
    // Rivals for a job are told apart by the log, so that nothing depends on who is believed to
    // live.
    private static final Supplier<Set<EntryId>> NO_OTHERS = Set::of;

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
        mRunner = new JobRunner(mService, pipeline, mScheduler, access.time(), NO_OTHERS);
        mCheckpointer = new JobCheckpointer(mService, mScheduler, NO_OTHERS);
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
            mScheduler.schedule(POLL, this::startRunnerWhenCaughtUp);
        }
    }

    /** Takes no more jobs; running ones go on until the process ends. */
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

    /** Returns the number of jobs that this entry runs. */
    int running() {
        return mRunner.running();
    }

    boolean isCaughtUp() {
        return mStream.isCaughtUp();
    }

    /** Tells whether the stream has been read to its end once, or is known to be down. */
    boolean isCaughtUpOrFailing() {
        return mStream.isCaughtUpOrFailing();
    }
}
