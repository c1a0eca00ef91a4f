package org.boragethread.core.config;

import org.boragethread.model.config.Configuration;

/** Is told of changes in a {@link ConfigStore}, in order and one call at a time. */
public interface ConfigListener {

    /** Receives a newer configuration. */
    default void onConfiguration(Configuration configuration) {}

    /** Receives what the fold made of a record. */
    default void onVerdict(Verdict verdict) {}
}
