/**
 * Configuration through the platform's log: intents and plans, the fold over the log's records,
 * snapshots, and replication between processes.
 */
package org.boragethread.core.config;
