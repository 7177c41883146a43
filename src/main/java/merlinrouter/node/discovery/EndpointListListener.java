package merlinrouter.node.discovery;

import merlinrouter.model.EndpointUpdateType;
import merlinrouter.node.config.EndpointList;

/** Is notified of the endpoint list and of changes to it. */
public interface EndpointListListener {
  /**
   * An update of the endpoint list arrived; called on the event loop.
   *
   * @param update the list, or its changed entries
   * @param type what the update holds
   */
  void endpointsUpdated(EndpointList update, EndpointUpdateType type);
}
