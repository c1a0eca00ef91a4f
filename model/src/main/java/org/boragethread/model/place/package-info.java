/** Data centres and VMs. */
package org.boragethread.model.place;
