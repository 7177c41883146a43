/**
 * The node's configuration file and the endpoint list: immutable records, their readers, and the
 * keys in the file and in the lists that discovery sends.
 *
 * <p>Times are in nanoseconds and sizes in bytes unless a name states another unit.
 */
package merlinrouter.node.config;
