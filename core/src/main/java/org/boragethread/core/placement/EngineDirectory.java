package org.boragethread.core.placement;

import java.util.Collection;
import org.boragethread.model.routing.EngineLimits;

/** The engines of one group as they are known now. */
public interface EngineDirectory {

    /**
     * Returns all engines, including those that are leaving. The coordinator reads them at most
     * every {@link PlacementCoordinator#DIRECTORY_INTERVAL}.
     */
    Collection<EngineStatus> engines();

    /** Returns the limits of each engine. */
    EngineLimits limits();
}
