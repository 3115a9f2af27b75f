/**
 * Messages exchanged between the processes of the dispatcher.
 */
package org.baobabspar.message;
