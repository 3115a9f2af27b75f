package org.baobabspar.bench;

import java.util.List;

/**
 * One job of a trace. Immutable.
 *
 * @param id its number in the trace
 * @param arrivalMillis when it arrives, from the start of the trace
 * @param party who submits it
 * @param taskClass its class
 * @param workMillis the work of each task on an endpoint of slowness 1
 * @param declaredMillis the declared run time of each task
 */
public record TraceJob(int id, long arrivalMillis, String party, String taskClass, List<Integer> workMillis,
		List<Integer> declaredMillis) {
}
