package org.boragethread.bench.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link LineFit}. */
public class LineFitTest {

    private static final double TOLERANCE = 1e-9;

    @Test
    public void pointsOnALineGiveThatLine() {
        LineFit fit = new LineFit();
        fit.add(1, 5);
        fit.add(2, 7);
        fit.add(10, 23);
        assertEquals(fit.slope(), 2, TOLERANCE);
        assertEquals(fit.intercept(), 3, TOLERANCE);
        assertEquals(fit.rSquared(), 1, TOLERANCE);
    }

    @Test
    public void pointsOffTheLineLowerTheFit() {
        LineFit fit = new LineFit();
        fit.add(1, 0);
        fit.add(2, 9);
        fit.add(3, 1);
        assertTrue(fit.rSquared() < 0.5, "R² is " + fit.rSquared());
    }
}
