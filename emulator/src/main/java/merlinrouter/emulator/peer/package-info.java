/**
 * Emulated peers of an edge node on loopback: clients, upstream servers, discovery, the quota
 * counter, and the network in front of an upstream server. All use blocking I/O with a thread for
 * each connection.
 */
package merlinrouter.emulator.peer;
