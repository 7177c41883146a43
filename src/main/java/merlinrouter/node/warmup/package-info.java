/**
 * JVM warm-up before a node serves: a second node in the same process handles synthetic requests
 * between stub clients and a stub server, so that the code that every request runs is compiled.
 */
package merlinrouter.node.warmup;
