/** Teams: the callers that share the upstreams. */
package org.boragethread.model.team;
