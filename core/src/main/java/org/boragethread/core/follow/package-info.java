/**
 * Follows topics of which a store keeps the newest record of each key, and knows how current it is.
 */
package org.boragethread.core.follow;
