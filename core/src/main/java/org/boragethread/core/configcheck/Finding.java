package org.boragethread.core.configcheck;

/**
 * A fault of a routing configuration.
 *
 * @param kind kind of fault
 * @param rule name of the rule that found it
 * @param place what it concerns
 * @param message what is wrong
 * @param remedy what would correct it
 */
public record Finding(FindingKind kind, String rule, Place place, String message, String remedy) {

    static Finding unused(String rule, Place place, String message, String remedy) {
        return new Finding(FindingKind.UNUSED, rule, place, message, remedy);
    }

    static Finding contradiction(String rule, Place place, String message, String remedy) {
        return new Finding(FindingKind.CONTRADICTION, rule, place, message, remedy);
    }
}
