/**
 * Open requests, which link a client connection to the attempts that forward its request, and the
 * last checks before an attempt is started or a client connection is closed.
 */
package merlinrouter.node.request;
