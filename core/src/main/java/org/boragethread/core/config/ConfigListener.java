package org.boragethread.core.config;

import org.boragethread.model.config.Configuration;

/** Listener for changes of a {@link ConfigStore}; called in order and one call at a time. */
public interface ConfigListener {

    /** Called with each newer configuration. */
    default void onConfiguration(Configuration configuration) {}

    /** Called with the outcome of each record that is applied. */
    default void onRecordApplied(RecordOutcome outcome) {}
}
