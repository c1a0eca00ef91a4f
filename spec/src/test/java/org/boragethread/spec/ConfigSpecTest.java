package org.boragethread.spec;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Model-checks {@code Config.tla}. Each deliberate fault must violate an invariant. */
public class ConfigSpecTest {

    private static final String[] INVARIANTS = {"SamePrefixSameState", "OneWinner", "NoRevert"};

    @Test
    public void invariantsHoldWithRacingPlans() {
        ModelAssertions.assertHolds(model(3).invariants(INVARIANTS).build(), 20_000);
    }

    @Test
    public void invariantsHoldWithRestartExpiryAndCopies() {
        TlcModel model =
                model(2).constant("MaxRecords", 3)
                        .constant("MaxRestarts", 1)
                        .constant("MaxCopies", 1)
                        .invariants(INVARIANTS)
                        .build();
        ModelAssertions.assertHolds(model, 10_000);
    }

    @Test(dataProvider = "faults")
    public void faultIsFound(TlcModel model) {
        ModelAssertions.assertViolated(model);
    }

    @DataProvider(parallel = true)
    Object[] faults() {
        return new Object[] {
            faultyModel(2, "no_revision_check", "OneWinner").build(),
            faultyModel(3, "no_removal_revision", "OneWinner").build(),
            faultyModel(1, "snapshot_without_ids", "OneWinner").constant("MaxCopies", 1).build(),
            faultyModel(2, "fold_over_gap", "SamePrefixSameState")
                    .constant("MaxRestarts", 1)
                    .build(),
            faultyModel(2, "take_older_snapshot", "NoRevert").build(),
        };
    }

    @Test(dataProvider = "witnesses")
    public void caseIsReached(TlcModel model) {
        ModelAssertions.assertViolated(model);
    }

    @DataProvider(parallel = true)
    Object[] witnesses() {
        return new Object[] {
            model(2).invariants("NeverConflict").build(),
            model(2).constant("MaxRestarts", 1).invariants("NeverLoadsSnapshotAfterExpiry").build(),
        };
    }

    private static TlcModel.Builder faultyModel(int maxPlans, String fault, String invariant) {
        return model(maxPlans).fault(fault).invariants(invariant);
    }

    private static TlcModel.Builder model(int maxPlans) {
        return new TlcModel.Builder("Config")
                .constant("Processes", "{p1, p2}")
                .constant("Objects", "{o1}")
                .constant("MaxRecords", 4)
                .constant("MaxPlans", maxPlans)
                .constant("MaxRestarts", 0)
                .constant("MaxCopies", 0)
                .symmetry("Symmetry");
    }
}
