/** Runs requests and jobs through the stages of their pipelines. */
package org.boragethread.core.pipeline;
