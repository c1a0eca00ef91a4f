package org.boragethread.model.config;

import java.util.Locale;

/** Kinds of configuration objects that carry a revision. */
public enum ObjectKind {
    /** A data centre. */
    DATA_CENTRE,
    /** A group of upstreams. */
    GROUP,
    /** One upstream's service state. */
    UPSTREAM,
    /** A team. */
    TEAM,
    /** A pipeline. */
    PIPELINE,
    /** The settlement of a job by an operator. */
    JOB,
    /**
     * The total capacity in service; its revision changes whenever an object is taken out of
     * service.
     */
    CAPACITY;

    /** Returns the name used in JSON documents, such as {@code data-centre}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
