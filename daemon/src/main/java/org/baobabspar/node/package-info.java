/**
 * The processes of a deployment with leased runs: an entry and an agent, around the
 * decisions of the core.
 */
package org.baobabspar.node;
