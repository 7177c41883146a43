package merlinrouter.node.config;

import java.util.List;

/**
 * The endpoint list, or an update of it.
 *
 * @param revision revision of the list that this message leads to
 * @param complete whether this is the whole list; if not, only changed entries
 * @param entries the endpoints
 */
public record EndpointList(long revision, boolean complete, List<EndpointEntry> entries) {}
