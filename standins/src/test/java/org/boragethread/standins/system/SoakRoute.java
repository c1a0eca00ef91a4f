package org.boragethread.standins.system;

import java.util.Arrays;
import java.util.stream.Collectors;

/** The routes of a soak run; their names are the first parts of the paths. */
enum SoakRoute {
    RESUMABLE("streaming", true, 3),
    PINNED("streaming", false, 2),
    SAFE("safe", false, 3),
    UNSAFE("unsafe", false, 1);

    static final long TIMEOUT_MILLIS = 5000;

    private static final String ROUTE =
            """
            {"name":"%s","hostname":"127.0.0.1","path_prefix":"/%s/","kind":"%s","can_resume":%s,
             "timeout_ms":%d,"target_latency_ms":%d,"gap_aim_ms":300,"service":"engines",
             "max_attempts":%d}""";

    private static final int TARGET_MILLIS = 400;

    private final String mKind;
    private final boolean mResumable;
    private final int mMaxAttempts;

    SoakRoute(String kind, boolean resumable, int maxAttempts) {
        mKind = kind;
        mResumable = resumable;
        mMaxAttempts = maxAttempts;
    }

    boolean isStreaming() {
        return mKind.equals("streaming");
    }

    boolean isResumable() {
        return mResumable;
    }

    /** Returns whether a request may run at most once. */
    boolean runsOnce() {
        return this == UNSAFE || this == PINNED;
    }

    int maxAttempts() {
        return mMaxAttempts;
    }

    static SoakRoute of(String path) {
        return valueOf(path.split("/")[1]);
    }

    /** Returns further lines of the head of each request. */
    String headers() {
        return "";
    }

    String path() {
        return "/" + name() + "/x";
    }

    /** Returns a configuration; those of later versions differ in the target latency. */
    static String config(int version) {
        String routes =
                Arrays.stream(values())
                        .map(route -> route.text(TARGET_MILLIS + version % 3))
                        .collect(Collectors.joining(","));
        return """
        {"version":%d,"routes":[%s],"services":[{"name":"engines","max_conns":200}],
         "tenants":[{"name":"team-1","api_keys":["key-1"]}]}"""
                .formatted(version, routes);
    }

    private String text(int targetMillis) {
        return ROUTE.formatted(
                name(), name(), mKind, mResumable, TIMEOUT_MILLIS, targetMillis, mMaxAttempts);
    }
}
