package merlinrouter.settings;

import merlinrouter.model.DeduplicationScope;
import merlinrouter.model.Idempotency;

/**
 * Settings of a class of requests.
 *
 * @param latencyObjectiveNanos time within which a response earns the full value
 * @param deadlineNanos how long a client waits, over all its retries
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope which endpoints drop duplicates, if the class has idempotency keys
 * @param deduplicationWindowNanos how long they drop duplicates, from the first attempt that may
 *     have been executed
 * @param lateValueFraction fraction of the value that a response after the objective earns, 0 to 1
 * @param priorityWeight value of one request
 */
public record RequestClass(
    long latencyObjectiveNanos,
    long deadlineNanos,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long deduplicationWindowNanos,
    double lateValueFraction,
    double priorityWeight) {}
