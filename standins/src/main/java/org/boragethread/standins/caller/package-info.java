/** Calls pipelines as callers do and checks that each answer is whole and its own. */
package org.boragethread.standins.caller;
