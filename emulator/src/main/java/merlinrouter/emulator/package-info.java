/**
 * Runs real edge nodes between scripted clients, match servers, discovery and a quota counter on
 * loopback, injects faults into their system calls, clocks and connections, and judges what the
 * clients and servers saw against the rules of the service.
 */
package merlinrouter.emulator;
