/** Routes of opaque HTTP requests to upstream groups, and the discovered upstreams. */
package org.boragethread.model.routing;
