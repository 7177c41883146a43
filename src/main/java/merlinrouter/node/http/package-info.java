/**
 * Code that the node's HTTP/1.1 connections share: header names, size limits, and strict parsing of
 * messages, since peers may send malformed ones.
 */
package merlinrouter.node.http;
