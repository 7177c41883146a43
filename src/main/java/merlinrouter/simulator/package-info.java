/**
 * The host of gateways in the simulator: a line protocol over standard input and output.
 *
 * <p>The simulator sends batches of events, one event a line, each addressed to a gateway instance
 * by its number; the adapter answers each batch with the actions that the gateways requested.
 * {@link merlinrouter.simulator.WireVocabulary} maps the protocol's words to the terms of {@link
 * merlinrouter.gateway}, and {@link merlinrouter.simulator.EventParser} the fields of its lines.
 * All times on the wire are nanoseconds.
 */
package merlinrouter.simulator;
