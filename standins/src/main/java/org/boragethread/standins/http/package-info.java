/** HTTP server classes that the stand-ins share. */
package org.boragethread.standins.http;
