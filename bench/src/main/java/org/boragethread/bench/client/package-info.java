/**
 * Open-loop and closed-loop load, and a client that records when each part of a response arrives.
 */
package org.boragethread.bench.client;
