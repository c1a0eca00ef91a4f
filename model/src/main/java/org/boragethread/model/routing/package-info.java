/** Routing of opaque HTTP requests to upstream groups, and discovered upstreams. */
package org.boragethread.model.routing;
