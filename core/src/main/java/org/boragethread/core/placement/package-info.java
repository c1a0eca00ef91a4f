/**
 * Shared placement: one entry, the coordinator of a group of engines, tracks the load of all its
 * engines and places requests of all entries. See docs/design/shared-placement.md.
 */
package org.boragethread.core.placement;
