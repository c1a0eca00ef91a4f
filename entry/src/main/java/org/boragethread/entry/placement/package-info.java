/**
 * Placement of requests at engines that the entries share: one entry, the coordinator of a group,
 * decides for all.
 */
package org.boragethread.entry.placement;
