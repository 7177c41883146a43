/**
 * Value types exchanged between a gateway, which makes the decisions, and its host: endpoints,
 * requests, attempts and their outcomes.
 *
 * <p>Unless stated otherwise, times are nanoseconds of one monotonic clock with an arbitrary
 * origin. All durations are nanoseconds.
 */
package merlinrouter.model;
