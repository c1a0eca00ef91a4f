/** Results of measurements as text, CSV and a page with plots. */
package org.boragethread.bench.report;
