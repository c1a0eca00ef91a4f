/** Stand-ins for model engines and plain services, with an honest model of their capacity. */
package org.boragethread.standins.upstream;
