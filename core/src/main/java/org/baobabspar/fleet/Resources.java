package org.baobabspar.fleet;

/**
 * An amount of an endpoint's resources. Example: a task that asks for 3.1 cores and 64 MB
 * fits ten times into an endpoint of 32 cores, since the cores run out first.
 * <p>
 * Invariant: none; a difference may be negative, which fits nothing. Immutable and safe
 * for any thread.
 *
 * @param cpuMillicores processor share in thousandths of a core
 * @param memoryMegabytes memory
 * @param acceleratorCount accelerators
 */
public record Resources(long cpuMillicores, long memoryMegabytes, long acceleratorCount) {

	/** Nothing. */
	public static final Resources NONE = new Resources(0, 0, 0);

	/**
	 * Add an amount.
	 * @param r the amount
	 * @return the sum
	 */
	public Resources plus(Resources r) {
		return new Resources(this.cpuMillicores + r.cpuMillicores, this.memoryMegabytes + r.memoryMegabytes,
				this.acceleratorCount + r.acceleratorCount);
	}

	/**
	 * Take an amount away.
	 * @param r the amount
	 * @return the difference
	 */
	public Resources minus(Resources r) {
		return plus(r.times(-1));
	}

	/**
	 * Multiply.
	 * @param factor how often
	 * @return the product
	 */
	public Resources times(long factor) {
		return new Resources(this.cpuMillicores * factor, this.memoryMegabytes * factor,
				this.acceleratorCount * factor);
	}

	/**
	 * Tell whether this amount fits into another.
	 * @param free what is free
	 * @return whether no resource is short
	 */
	public boolean fitsInto(Resources free) {
		return this.cpuMillicores <= free.cpuMillicores && this.memoryMegabytes <= free.memoryMegabytes
				&& this.acceleratorCount <= free.acceleratorCount;
	}

}
