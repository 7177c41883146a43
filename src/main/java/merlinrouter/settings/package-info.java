/**
 * Immutable settings of a gateway, and the one place that maps the names of the settings' keys to
 * the terms of this program.
 */
package merlinrouter.settings;
