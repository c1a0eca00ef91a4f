package org.boragethread.core.config;

/** Carries a {@link ConfigError} out of nested JSON readers; never thrown out of this package. */
final class InvalidDocumentException extends RuntimeException {

    private final transient ConfigError mError;

    InvalidDocumentException(ConfigError.Kind kind, String detail) {
        super(detail, null, false, false);
        mError = new ConfigError(kind, detail);
    }

    ConfigError error() {
        return mError;
    }
}
