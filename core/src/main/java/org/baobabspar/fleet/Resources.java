package org.baobabspar.fleet;

/**
 * An amount of compute resources: the capacity of an endpoint, its free part, or the
 * demand of a task. For example, a task that requests 3.1 cores and 64 MB fits ten times
 * into an endpoint with 32 cores, because the cores are exhausted first.
 * <p>
 * Amounts may be negative as the result of a subtraction; nothing fits into a negative
 * amount. Immutable and thread-safe.
 *
 * @param cpuMillicores CPU in thousandths of a core
 * @param memoryMegabytes memory in megabytes
 * @param acceleratorCount number of accelerators
 */
public record Resources(long cpuMillicores, long memoryMegabytes, long acceleratorCount) {

	/** No resources. */
	public static final Resources NONE = new Resources(0, 0, 0);

	/**
	 * Adds an amount component by component.
	 * @param other the amount to add
	 * @return the sum
	 */
	public Resources plus(Resources other) {
		return new Resources(this.cpuMillicores + other.cpuMillicores, this.memoryMegabytes + other.memoryMegabytes,
				this.acceleratorCount + other.acceleratorCount);
	}

	/**
	 * Subtracts an amount component by component.
	 * @param other the amount to subtract
	 * @return the difference, possibly negative
	 */
	public Resources minus(Resources other) {
		return plus(other.times(-1));
	}

	/**
	 * Multiplies every component by a factor.
	 * @param factor the factor
	 * @return the product
	 */
	public Resources times(long factor) {
		return new Resources(this.cpuMillicores * factor, this.memoryMegabytes * factor,
				this.acceleratorCount * factor);
	}

	/**
	 * Returns whether this amount is available in another.
	 * @param free the available amount
	 * @return {@code true} if no component of this amount exceeds the available one
	 */
	public boolean fitsInto(Resources free) {
		return this.cpuMillicores <= free.cpuMillicores && this.memoryMegabytes <= free.memoryMegabytes
				&& this.acceleratorCount <= free.acceleratorCount;
	}

}
