package org.boragethread.spec;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** A specification with constants and invariants for the model checker. */
final class TlcModel {

    private final Builder mBuilder;

    private TlcModel(Builder builder) {
        mBuilder = builder;
    }

    /** Returns the name of the TLA+ module. */
    String module() {
        return mBuilder.mModule;
    }

    /** Returns the name of the deliberate fault, or {@code none}. */
    String fault() {
        return mBuilder.mFault;
    }

    /** Returns the invariants to check. */
    List<String> invariants() {
        return mBuilder.mInvariants;
    }

    /** Returns the content of the configuration file for the model checker. */
    String configuration() {
        StringBuilder text = new StringBuilder("SPECIFICATION Spec\n");
        mBuilder.mConstants.forEach(
                (name, value) ->
                        text.append("CONSTANT %s %s\n".formatted(name, assignment(value))));
        text.append("CONSTANT Bug = \"%s\"\n".formatted(mBuilder.mFault));
        mBuilder.mSymmetry.ifPresent(s -> text.append("SYMMETRY %s\n".formatted(s)));
        text.append(
                mBuilder.mInvariants.stream()
                        .map("INVARIANT %s\n"::formatted)
                        .collect(Collectors.joining()));
        return text.toString();
    }

    private static String assignment(String value) {
        return value.startsWith("<-") ? value : "= " + value;
    }

    /** Returns a builder with the values of this model. */
    Builder toBuilder() {
        return new Builder(mBuilder);
    }

    @Override
    public String toString() {
        return "%s fault=%s invariants=%s".formatted(module(), fault(), invariants());
    }

    /** Builds models. */
    static final class Builder {
        private final String mModule;
        private final Map<String, String> mConstants = new LinkedHashMap<>();
        private Optional<String> mSymmetry = Optional.empty();
        private String mFault = "none";
        private List<String> mInvariants = List.of();

        Builder(String module) {
            mModule = module;
        }

        private Builder(Builder from) {
            mModule = from.mModule;
            mConstants.putAll(from.mConstants);
            mSymmetry = from.mSymmetry;
            mFault = from.mFault;
            mInvariants = from.mInvariants;
        }

        /** Sets a constant. A value that starts with {@code <-} substitutes a definition. */
        Builder constant(String name, String value) {
            mConstants.put(name, value);
            return this;
        }

        /** Sets a constant to a number. */
        Builder constant(String name, int value) {
            return constant(name, Integer.toString(value));
        }

        /** Declares model values, which are equal only to themselves. */
        Builder modelValues(String... names) {
            for (String name : names) {
                mConstants.put(name, name);
            }
            return this;
        }

        /** Sets the definition to use as the symmetry set. */
        Builder symmetry(String definition) {
            mSymmetry = Optional.of(definition);
            return this;
        }

        /** Enables a deliberate fault of the specification. */
        Builder fault(String fault) {
            mFault = fault;
            return this;
        }

        /** Sets the invariants to check. */
        Builder invariants(String... invariants) {
            mInvariants = List.of(invariants);
            return this;
        }

        /** Returns the model. */
        TlcModel build() {
            return new TlcModel(new Builder(this));
        }
    }
}
