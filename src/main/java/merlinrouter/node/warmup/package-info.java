/**
 * JVM warm-up before a node serves: a second node in the same process handles made-up requests
 * between a stub client and a stub server, so that the code which every request passes is compiled.
 */
package merlinrouter.node.warmup;
