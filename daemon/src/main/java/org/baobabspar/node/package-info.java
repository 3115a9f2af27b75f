/**
 * The processes of a deployment with leased runs, an entry and an agent, which connect
 * the decision logic of the core to links, clocks, logs and metrics.
 */
package org.baobabspar.node;
