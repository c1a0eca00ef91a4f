/** Pipelines and their stages. */
package org.boragethread.model.pipeline;
