package merlinrouter.node.config;

import java.util.List;

/**
 * The endpoint list, or an update of it.
 *
 * @param revision revision of the list after this update
 * @param complete whether the entries are the whole list rather than only its changed entries
 * @param entries the endpoints
 */
public record EndpointList(long revision, boolean complete, List<EndpointEntry> entries) {}
