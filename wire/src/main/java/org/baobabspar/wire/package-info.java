/**
 * The network layer: frames, their codec, links between the processes of the dispatcher,
 * and a pool of HTTP client connections.
 */
package org.baobabspar.wire;
