/**
 * The decision logic of an agent: the start gate, the start ledger, slot allocation and
 * usage metering.
 */
package org.baobabspar.agent;
