package merlinrouter.node.counter;

import merlinrouter.model.Outcome;

/**
 * The result of a call to the counter.
 *
 * @param counterKey key of the counter
 * @param outcome how the call ended
 * @param total the counter's total after the addition; 0 unless the outcome is {@link Outcome#OK}
 */
public record CounterResult(long counterKey, Outcome outcome, double total) {}
