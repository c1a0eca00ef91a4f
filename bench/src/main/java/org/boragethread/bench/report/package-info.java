/** Reports of measurements as text, CSV and an HTML page with a chart. */
package org.boragethread.bench.report;
