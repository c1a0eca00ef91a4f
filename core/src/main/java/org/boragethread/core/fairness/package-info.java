/** Bounds what each team may ask of an entry. */
package org.boragethread.core.fairness;
