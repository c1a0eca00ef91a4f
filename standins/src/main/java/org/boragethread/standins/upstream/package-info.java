/** Stand-ins for model engines and plain services that model limited capacity and cold starts. */
package org.boragethread.standins.upstream;
