package org.boragethread.standins.system;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Objects;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.boragethread.standins.system.SoakResponse.Behaviour;

/**
 * An engine that falls silent for a while, rejects requests or breaks responses off, by seed. It
 * records each request and notices at once when the gateway closes the connection.
 */
final class SoakEngine implements AutoCloseable {

    static final int EVENTS = 8;

    /** Time between a gateway's closing of one connection and its end at the other. */
    private static final long CLOSE_NANOS = Duration.ofMillis(300).toNanos();

    private static final int REJECTED_SHARE = 6;
    private static final int BROKEN_SHARE = 9;
    private static final int SILENT_SHARE = 30;
    private static final int MIN_SILENCE_MILLIS = 300;
    private static final int MAX_SILENCE_MILLIS = 3000;

    private final String mId;
    private final String mGroup;
    private final long mSeed;
    private final Queue<Run> mRuns = new ConcurrentLinkedQueue<>();
    private volatile Process mProcess;

    /** How the work on a request ended. */
    enum End {
        AT_WORK,
        WHOLE,
        REJECTED,
        /** The connection was closed after some events. */
        BROKEN_OFF,
        /** The connection was closed before the head. */
        NO_RESPONSE,
        /** The gateway closed the connection. */
        CANCELLED
    }

    /** One request as the engine saw it. */
    static final class Run {
        final String mRequestId;
        final String mEngine;

        /** Handles of the pieces that were given to the engine. */
        final String mInputs;

        final long mBegin = System.nanoTime();
        volatile End mEnd = End.AT_WORK;
        volatile long mEndNanos;

        Run(ScriptedUpstream.Request request, String engine) {
            mRequestId = request.id();
            mEngine = engine;
            mInputs = request.headers().getOrDefault("x-boragethread-inputs", "");
        }

        private void end(End end) {
            mEndNanos = System.nanoTime();
            mEnd = end;
        }

        /** Returns whether the gateway left the engine at work. */
        boolean isLeft() {
            return mEnd == End.AT_WORK || mEnd == End.CANCELLED;
        }

        /** Returns whether this response broke off once another run had been left. */
        boolean brokeOffAfter(Run left) {
            return mEnd == End.BROKEN_OFF
                    && left.mEnd == End.CANCELLED
                    && mEndNanos > left.mEndNanos - CLOSE_NANOS;
        }
    }

    /** What an engine is from its start to its end. */
    private static final class Process {
        final String mVersion;
        final long mBorn = System.currentTimeMillis();
        ScriptedUpstream mServer;
        volatile boolean mEnded;

        Process(String version) {
            mVersion = version;
        }
    }

    SoakEngine(String id, String group, String version, long seed) throws IOException {
        mId = id;
        mGroup = group;
        mSeed = seed;
        mProcess = start(0, version);
    }

    private Process start(int port, String version) throws IOException {
        Process process = new Process(version);
        process.mServer =
                new ScriptedUpstream(
                        port, (request, connection) -> respond(process, request, connection));
        return process;
    }

    /** Breaks off all responses and starts again at the same port with other software. */
    void restart(String version) throws IOException {
        int port = mProcess.mServer.port();
        mProcess.mEnded = true;
        mProcess.mServer.close();
        mProcess = start(port, version);
    }

    String id() {
        return mId;
    }

    ScriptedUpstream server() {
        return mProcess.mServer;
    }

    Queue<Run> runs() {
        return mRuns;
    }

    String group() {
        return mGroup;
    }

    /** Returns the version of the software that runs. */
    String version() {
        return mProcess.mVersion;
    }

    String announcement() {
        Process process = mProcess;
        return """
        {"service":"%s","address":"127.0.0.1:%d","zone":"north","state":"ready",
         "version":"%s","slots":64,"cold_left_ms":0,"seq":1,"born":%d}"""
                .formatted(mGroup, process.mServer.port(), process.mVersion, process.mBorn);
    }

    private void respond(Process process, ScriptedUpstream.Request request, Socket connection)
            throws IOException {
        Run run = new Run(request, mId);
        mRuns.add(run);
        SoakResponse response =
                new SoakResponse(connection, request, process.mVersion, plan(request));
        try {
            run.end(response.send());
        } catch (IOException e) {
            run.end(process.mEnded ? response.endOfBroken() : End.CANCELLED);
            throw e;
        }
        connection.setSoTimeout(0);
        if (run.mEnd == End.BROKEN_OFF || run.mEnd == End.NO_RESPONSE) {
            connection.close();
        }
    }

    private SoakResponse.Plan plan(ScriptedUpstream.Request request) {
        SplittableRandom random = new SplittableRandom(Objects.hash(mSeed, request.id(), mId));
        int share = random.nextInt(100);
        Behaviour behaviour = Behaviour.NORMAL;
        if (share < REJECTED_SHARE) {
            behaviour = Behaviour.REJECT;
        } else if (share < BROKEN_SHARE) {
            behaviour = Behaviour.BREAK_OFF;
        } else if (share < SILENT_SHARE) {
            behaviour = Behaviour.FALL_SILENT;
        }
        int at = random.nextBoolean() ? 0 : 1 + random.nextInt(EVENTS - 1);
        int silence = random.nextInt(MIN_SILENCE_MILLIS, MAX_SILENCE_MILLIS + 1);
        return new SoakResponse.Plan(behaviour, at, silence);
    }

    @Override
    public void close() throws IOException {
        mProcess.mServer.close();
    }
}
