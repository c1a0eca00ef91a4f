package org.boragethread.entry.http;

import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** Routes callers' requests to the pipeline handler or the job handler. */
public final class CallerHandler extends HttpHandler {

    private static final Pattern SUBMISSION = Pattern.compile("/v1/pipelines/([^/]+)/jobs");

    private final PipelineHandler mPipelines;
    private final JobHandler mJobs;
    private final BooleanSupplier mStopping;

    /**
     * Creates a handler that routes to the given handlers.
     *
     * @param stopping whether the process is stopping; responses then ask callers to close the
     *     connection
     */
    public CallerHandler(PipelineHandler pipelines, JobHandler jobs, BooleanSupplier stopping) {
        mPipelines = pipelines;
        mJobs = jobs;
        mStopping = stopping;
    }

    @Override
    public void service(Request request, Response response) {
        if (mStopping.getAsBoolean()) {
            response.setHeader("Connection", "close");
        }
        String path = request.getRequestURI();
        Matcher submission = SUBMISSION.matcher(path);
        if (submission.matches() && request.getMethod() == Method.POST) {
            mJobs.submit(request, response, submission.group(1));
        } else if (path.equals(JobHandler.JOBS_PATH)
                || path.startsWith(JobHandler.JOBS_PATH + "/")) {
            mJobs.service(request, response);
        } else {
            mPipelines.service(request, response);
        }
    }
}
