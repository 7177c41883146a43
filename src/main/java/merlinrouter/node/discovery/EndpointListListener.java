package merlinrouter.node.discovery;

import merlinrouter.model.EndpointUpdateType;
import merlinrouter.node.config.EndpointList;

/** Receives the endpoint list and changes to it. */
public interface EndpointListListener {
  /**
   * Handles an update of the endpoint list. Invoked on the event loop.
   *
   * @param update the list, or its changed entries
   * @param type whether the update is the whole list or only changed entries
   */
  void endpointsUpdated(EndpointList update, EndpointUpdateType type);
}
