package org.boragethread.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.boragethread.core.selection.Candidate;
import org.boragethread.core.selection.SelectionRequest;
import org.boragethread.core.selection.Selector;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupKind;
import org.boragethread.model.upstream.UpstreamGroup;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.model.upstream.UpstreamLoad;

/**
 * Picks one of the connected upstreams that are in service by the current configuration, using a
 * selector.
 */
public final class ConnectedUpstreamPicker implements UpstreamPicker {

    private static final String UNKNOWN_REGION = "";

    private final UpstreamTable mTable;
    private final Supplier<Configuration> mConfiguration;
    private final DataCentreId mLocalDataCentre;
    private final Selector mSelector;

    /**
     * Creates a picker.
     *
     * @param table connections to pick from
     * @param localDataCentre data centre of this process
     */
    public ConnectedUpstreamPicker(
            UpstreamTable table,
            Supplier<Configuration> configuration,
            DataCentreId localDataCentre,
            Selector selector) {
        mTable = Objects.requireNonNull(table, "table");
        mConfiguration = Objects.requireNonNull(configuration, "configuration");
        mLocalDataCentre = Objects.requireNonNull(localDataCentre, "localDataCentre");
        mSelector = Objects.requireNonNull(selector, "selector");
    }

    @Override
    public Optional<UpstreamLink> pick(Stage stage, long prefixHash, Set<UpstreamId> excluded) {
        Configuration configuration = mConfiguration.get();
        List<UpstreamLink> links = new ArrayList<>();
        List<Candidate> candidates = new ArrayList<>();
        for (UpstreamLink link : mTable.links(stage.group())) {
            if (!link.isAccepting()
                    || !configuration.isInService(link.upstream(), link.dataCentre())) {
                continue;
            }
            links.add(link);
            candidates.add(link.candidate(regionOf(link.dataCentre(), configuration)));
        }
        GroupKind kind =
                configuration.group(stage.group()).map(UpstreamGroup::kind).orElse(GroupKind.PLAIN);
        SelectionRequest request =
                new SelectionRequest(
                        kind,
                        mLocalDataCentre,
                        regionOf(mLocalDataCentre, configuration),
                        prefixHash,
                        excluded);
        return mSelector
                .select(request, candidates)
                .map(selected -> links.get(candidates.indexOf(selected)));
    }

    @Override
    public double utilisation(Stage stage) {
        int calls = 0;
        int totalLimit = 0;
        for (UpstreamLink link : mTable.links(stage.group())) {
            if (link.isAccepting()) {
                UpstreamLoad load = link.candidate(UNKNOWN_REGION).load();
                calls += load.inFlight() + load.queued();
                totalLimit += load.limit();
            }
        }
        return totalLimit == 0 ? 1 : calls / (double) totalLimit;
    }

    private static String regionOf(DataCentreId id, Configuration configuration) {
        return configuration
                .dataCentre(id)
                .map(dataCentre -> dataCentre.region())
                .orElse(UNKNOWN_REGION);
    }
}
