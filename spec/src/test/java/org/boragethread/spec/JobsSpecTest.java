package org.boragethread.spec;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Model-checks {@code Jobs.tla}. Each deliberate fault must violate an invariant. */
public class JobsSpecTest {

    private static final String[] INVARIANTS = {
        "EffectOnce", "FinishOnce", "FencedFinish", "NoLostJob"
    };

    @Test
    public void invariantsHoldWithTakenOverLeaseAndAgentRestart() {
        TlcModel model = model(6).constant("MaxTime", 1).invariants(INVARIANTS).build();
        ModelAssertions.assertHolds(model, 20_000);
    }

    @Test
    public void invariantsHoldWhenHeldJobRunsAgain() {
        TlcModel model =
                model(8).constant("MaxTime", 1)
                        .constant("MaxRestarts", 0)
                        .invariants(INVARIANTS)
                        .build();
        ModelAssertions.assertHolds(model, 20_000);
    }

    @Test(dataProvider = "faults")
    public void faultIsFound(TlcModel model) {
        ModelAssertions.assertViolated(model);
    }

    @DataProvider(parallel = true)
    Object[] faults() {
        return new Object[] {
            faultyModel(6, "run_without_claim", "EffectOnce").build(),
            faultyModel(8, "settle_early", "EffectOnce")
                    .constant("MaxTime", 1)
                    .constant("MaxRestarts", 0)
                    .build(),
            faultyModel(6, "finish_twice", "FinishOnce").build(),
            faultyModel(6, "no_fencing", "FencedFinish").build(),
            faultyModel(6, "accept_before_read_back", "NoLostJob").build(),
            faultyModel(6, "drop_unknown", "NoLostJob").build(),
        };
    }

    @Test(dataProvider = "witnesses")
    public void caseIsReached(TlcModel model) {
        ModelAssertions.assertViolated(model);
    }

    @DataProvider(parallel = true)
    Object[] witnesses() {
        return new Object[] {
            model(6).invariants("NeverTakenOverAndFinished").build(),
            model(6).invariants("NeverSettledAndRun").build(),
        };
    }

    private static TlcModel.Builder faultyModel(int maxRecords, String fault, String invariant) {
        return model(maxRecords).fault(fault).invariants(invariant);
    }

    private static TlcModel.Builder model(int maxRecords) {
        return new TlcModel.Builder("Jobs")
                .constant("Jobs", "{j1}")
                .constant("Entries", "{e1, e2}")
                .constant("MaxRecords", maxRecords)
                .constant("MaxTime", 2)
                .constant("Lease", 1)
                .constant("MaxRestarts", 1)
                .symmetry("Symmetry");
    }
}
