/**
 * Configuration that is replicated through the platform's log: intents and plans, the state machine
 * that applies the log's records, snapshots, and replication between processes.
 */
package org.boragethread.core.config;
