/**
 * Runs real edge node processes between emulated peers on loopback, injects faults and checks the
 * service's invariants.
 *
 * <p>The peers are clients, upstream servers, discovery and the quota counter ({@link
 * merlinrouter.emulator.peer}). Faults are failing system calls and wall-clock steps within a node
 * ({@link merlinrouter.emulator.fleet}), degraded networks, and peers that misbehave. What clients
 * and upstream servers observed of each request ({@link merlinrouter.emulator.request}) is checked
 * against the invariants ({@link merlinrouter.emulator.invariant}). The tests provoke one fault at
 * a time; a soak test ({@link merlinrouter.emulator.soak}) overlaps random ones.
 *
 * <p>The emulator runs a checkout's built program with the {@code run} command of its {@code
 * deploy/balancer.toml}. It needs Linux and {@code gcc}, which compiles {@code faultshim.c}, the
 * library that is preloaded into each node.
 */
package merlinrouter.emulator;
