package org.baobabspar.wire;

/**
 * The response to an HTTP call. Thread-safe, provided that the array of the body is not
 * modified.
 *
 * @param status the HTTP status code
 * @param body the body, empty if there is none
 */
public record HttpCallResponse(int status, byte[] body) {
}
