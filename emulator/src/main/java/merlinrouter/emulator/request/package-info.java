/**
 * Records of what clients and upstream servers observed of each request. All times are {@link
 * System#nanoTime()} values of the emulator's process.
 */
package merlinrouter.emulator.request;
