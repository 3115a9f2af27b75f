/**
 * Decisions of an agent: the start gate, the start ledger, allotments of slots.
 */
package org.baobabspar.agent;
