package org.masticshelf.kernel.serving;

/**
 * The size and load times of a model. Immutable.
 *
 * @param name the name of the model
 * @param megabytes the size of its weights
 * @param storeMilliseconds the duration of a load from the weight store
 * @param diskMilliseconds the duration of a load from the endpoint's disk
 * @param memoryMilliseconds the duration of a load from the endpoint's host memory
 * @param adapters the number of its adapters
 * @param adapterMegabytes the size of one adapter
 */
public record ModelProfile(String name, double megabytes, long storeMilliseconds, long diskMilliseconds,
		long memoryMilliseconds, int adapters, double adapterMegabytes) {
}
