/**
 * The node's configuration file and the endpoint list: immutable records, their readers, and the
 * names of the keys in the file and in discovery's messages.
 *
 * <p>All times are nanoseconds and all sizes bytes unless a name says otherwise.
 */
package merlinrouter.node.config;
