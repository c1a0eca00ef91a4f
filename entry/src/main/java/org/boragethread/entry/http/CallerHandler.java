package org.boragethread.entry.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** Hands callers' requests to the handler of pipelines or of jobs. */
public final class CallerHandler extends HttpHandler {

    private static final Pattern SUBMISSION = Pattern.compile("/v1/pipelines/([^/]+)/jobs");

    private final PipelineHandler mPipelines;
    private final JobHandler mJobs;

    /** Hands requests to the given handlers. */
    public CallerHandler(PipelineHandler pipelines, JobHandler jobs) {
        mPipelines = pipelines;
        mJobs = jobs;
    }

    @Override
    public void service(Request request, Response response) {
        String path = request.getRequestURI();
        Matcher submission = SUBMISSION.matcher(path);
        if (submission.matches() && request.getMethod() == Method.POST) {
            mJobs.submit(request, response, submission.group(1));
        } else if (path.equals(JobHandler.JOBS) || path.startsWith(JobHandler.JOBS + "/")) {
            mJobs.service(request, response);
        } else {
            mPipelines.service(request, response);
        }
    }
}
