/**
 * What is common to the HTTP/1.1 connections of the node: a strict decoder, limits and numbers for
 * messages of peers that cannot be trusted to be well-formed.
 */
package merlinrouter.node.http;
