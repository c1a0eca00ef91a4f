package org.boragethread.model.pipeline;

import org.boragethread.model.Names;

/** Identifies a pipeline. */
public record PipelineId(String value) implements Comparable<PipelineId> {

    public PipelineId {
        Names.check("PipelineId", value);
    }

    @Override
    public int compareTo(PipelineId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
