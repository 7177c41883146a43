/**
 * What clients and upstream servers observed of each request. All moments are {@link
 * System#nanoTime()} of the emulator's process.
 */
package merlinrouter.emulator.request;
