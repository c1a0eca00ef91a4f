package org.boragethread.spec;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the specification of the configuration. */
public class ConfigSpecTest {

    private static final String[] INVARIANTS = {"SamePrefixSameState", "OneWinner", "NoRevert"};

    @Test
    public void invariantsHoldWithRacingPlans() {
        ModelChecks.assertHolds(instance(3).invariants(INVARIANTS).build(), 20_000);
    }

    @Test
    public void invariantsHoldWithRestartExpiryAndCopies() {
        TlcModel model =
                instance(2)
                        .constant("MaxRecords", 3)
                        .constant("MaxRestarts", 1)
                        .constant("MaxCopies", 1)
                        .invariants(INVARIANTS)
                        .build();
        ModelChecks.assertHolds(model, 10_000);
    }

    @Test(dataProvider = "faults")
    public void faultIsFound(TlcModel model) {
        ModelChecks.assertViolated(model);
    }

    @DataProvider(parallel = true)
    Object[] faults() {
        return new Object[] {
            fault(2, "no_revision_check", "OneWinner").build(),
            fault(3, "no_removal_revision", "OneWinner").build(),
            fault(1, "snapshot_without_ids", "OneWinner").constant("MaxCopies", 1).build(),
            fault(2, "fold_over_gap", "SamePrefixSameState").constant("MaxRestarts", 1).build(),
            fault(2, "take_older_snapshot", "NoRevert").build(),
        };
    }

    @Test(dataProvider = "witnesses")
    public void caseIsReached(TlcModel model) {
        ModelChecks.assertViolated(model);
    }

    @DataProvider(parallel = true)
    Object[] witnesses() {
        return new Object[] {
            instance(2).invariants("NeverConflict").build(),
            instance(2)
                    .constant("MaxRestarts", 1)
                    .invariants("NeverLoadsSnapshotAfterExpiry")
                    .build(),
        };
    }

    private static TlcModel.Builder fault(int maxPlans, String fault, String invariant) {
        return instance(maxPlans).fault(fault).invariants(invariant);
    }

    private static TlcModel.Builder instance(int maxPlans) {
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
