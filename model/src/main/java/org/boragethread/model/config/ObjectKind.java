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
    /** An operator's statement on the outcome of a job. */
    JOB,
    /** The sum of what is in service; changes whenever something is taken out of service. */
    CAPACITY;

    /** Returns the name used in documents, such as {@code data-centre}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
