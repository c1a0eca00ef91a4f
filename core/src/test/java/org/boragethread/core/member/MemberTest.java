package org.boragethread.core.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.boragethread.model.place.DataCentreId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link Member}. */
public class MemberTest {

    @Test
    public void nameIsParsedBack() {
        Member member = new Member("10.1.0.4:7420", 1733, 27, new DataCentreId("san-jose"));
        assertEquals(Member.parse(member.name()), Optional.of(member));
    }

    @DataProvider
    public Object[][] malformedNames() {
        return new Object[][] {
            {""},
            {"10.1.0.4:7420"},
            {"1733@10.1.0.4:7420"},
            {"1733;27@10.1.0.4:7420"},
            {"1733;many;north@10.1.0.4:7420"},
            {"1733;27;north@"},
            {"1733;27;@10.1.0.4:7420"}
        };
    }

    /** Such names may come from other versions. */
    @Test(dataProvider = "malformedNames")
    public void malformedNameIsNoMember(String name) {
        assertTrue(Member.parse(name).isEmpty());
    }
}
