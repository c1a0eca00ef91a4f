package org.boragethread.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link Names}. */
public class NamesTest {

    @DataProvider
    public Object[][] values() {
        return new Object[][] {
            {"a", true},
            {"san-jose", true},
            {"9.x_Y-z", true},
            {"a".repeat(64), true},
            {"a".repeat(65), false},
            {"", false},
            {null, false},
            {"-a", false},
            {".a", false},
            {"a b", false},
            {"a/b", false},
            {"caf\u00e9", false},
            {"a\n", false},
        };
    }

    @Test(dataProvider = "values")
    public void onlyWellFormedNamesAreValid(String value, boolean valid) {
        assertEquals(Names.isValid(value), valid);
    }

    @Test
    public void errorMessageForAnInvalidNameStatesItsKind() {
        IllegalArgumentException e =
                expectThrows(IllegalArgumentException.class, () -> Names.check("TeamId", "a b"));
        assertTrue(e.getMessage().startsWith("TeamId \"a b\" is not valid"), e.getMessage());
    }
}
