package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ResponseTimeModel}. */
public class ResponseTimeModelTest {

    /** Relative error of a learned time that is small enough for choices between upstreams. */
    private static final double TOLERANCE = 0.25;

    @DataProvider
    public Object[][] engines() {
        return new Object[][] {{60, 48.2}, {90, 112.0}, {250, 8.0}};
    }

    /** Engines of different makes, whose prompts also wait for each other at times. */
    @Test(dataProvider = "engines")
    public void speedOfEnginesIsLearned(double baseMillis, double tokensPerMilli) {
        ResponseTimeModel model = new ResponseTimeModel();
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 300; i++) {
            double tokens = 300 + random.nextInt(8000);
            double waitMillis = random.nextInt(10) == 0 ? random.nextInt(100) : 0;
            model.addAndCompare(tokens, baseMillis + tokens / tokensPerMilli + waitMillis);
        }
        assertEquals(
                model.prefillMillis(4000),
                4000 / tokensPerMilli,
                TOLERANCE * 4000 / tokensPerMilli);
        double expected = baseMillis + 4000 / tokensPerMilli;
        assertEquals(model.expectedMillis(4000), expected, TOLERANCE * expected);
    }

    @DataProvider
    public Object[][] services() {
        return new Object[][] {{5.0}, {43.0}, {900.0}};
    }

    @Test(dataProvider = "services")
    public void averageOfPlainServicesIsLearned(double millis) {
        ResponseTimeModel model = new ResponseTimeModel();
        for (int i = 0; i < 200; i++) {
            model.addAndCompare(0, millis);
        }
        assertEquals(model.expectedMillis(0), millis, 0.1 * millis);
        assertEquals(model.addAndCompare(0, 3 * millis), 3, 0.3);
    }

    /** An engine stops for half a minute and then answers. */
    @Test
    public void singleVeryLateResponseChangesTheExpectationLittle() {
        ResponseTimeModel model = new ResponseTimeModel();
        for (int i = 0; i < 200; i++) {
            model.addAndCompare(1000 + i * 10, 100);
        }
        model.addAndCompare(2000, 30_000);
        assertTrue(model.expectedMillis(2000) < 130, "expected " + model.expectedMillis(2000));
    }

    @Test
    public void promptsOfEqualLengthLeaveTheTimesPositive() {
        ResponseTimeModel model = new ResponseTimeModel();
        for (int i = 0; i < 500; i++) {
            model.addAndCompare(3000, 40);
        }
        assertEquals(model.expectedMillis(3000), 40, 10);
        assertTrue(model.prefillMillis(1) > 0);
    }
}
