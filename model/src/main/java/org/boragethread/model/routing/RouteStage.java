package org.boragethread.model.routing;

import java.util.List;
import org.boragethread.model.upstream.GroupId;

/**
 * Work that must be done before a request can run. A stage consists of pieces; the result of each
 * piece stays at the upstream that computed it.
 *
 * @param group group of the upstreams that do the work
 * @param after numbers of the stages whose results this stage needs
 * @param resultBytes approximate size of one result, in bytes
 */
public record RouteStage(GroupId group, List<Integer> after, long resultBytes) {

    public RouteStage {
        after = List.copyOf(after);
    }

    /**
     * Returns whether another stage of a request needs the results of the given stage.
     *
     * @param stages all stages of the request's route
     * @param pieces number of pieces of each stage; a stage with 0 pieces is skipped
     */
    public static boolean hasDependents(List<RouteStage> stages, int[] pieces, int stage) {
        for (int other = 0; other < pieces.length; other++) {
            if (pieces[other] > 0 && stages.get(other).after().contains(stage)) {
                return true;
            }
        }
        return false;
    }
}
