package org.baobabspar.wire;

/**
 * The answer to an HTTP call. Immutable, but for its bytes, which are not changed; safe
 * for any thread.
 *
 * @param status its status
 * @param body its body, empty if it has none
 */
public record HttpCallResponse(int status, byte[] body) {
}
