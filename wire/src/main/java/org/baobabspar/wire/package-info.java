/**
 * Frames, codec and links between the processes of the dispatcher.
 */
package org.baobabspar.wire;
