/** Runs requests through the stages of their pipelines. */
package org.boragethread.core.pipeline;
