/**
 * Hosts gateways for the simulator through a line protocol over standard input and output.
 *
 * <p>The simulator sends batches of events, one event per line, each addressed to a gateway
 * instance by its number; the adapter replies to each batch with the actions that the gateways
 * requested. {@link merlinrouter.simulator.WireVocabulary} maps the protocol's keywords to the
 * terms of {@link merlinrouter.gateway}; {@link merlinrouter.simulator.EventParser} maps the fields
 * of its lines. All times in the protocol are in nanoseconds.
 */
package merlinrouter.simulator;
