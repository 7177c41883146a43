package merlinrouter.settings;

import merlinrouter.model.DeduplicationScope;
import merlinrouter.model.Idempotency;

/**
 * A class of requests.
 *
 * @param latencyObjectiveNanos a response within this time earns the full value
 * @param deadlineNanos how long a client waits, over all its retries
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope which endpoints drop duplicates, where the class has idempotency keys
 * @param deduplicationWindowNanos how long they do, from the first attempt that may have executed
 * @param lateValueFraction part of the value that a response after the objective earns, 0 to 1
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
