/** Calls pipelines as callers do and verifies the content of the responses. */
package org.boragethread.standins.caller;
