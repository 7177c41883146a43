/**
 * Immutable settings of a gateway, and the only place that maps the external key names of the
 * settings to the terms of this program.
 */
package merlinrouter.settings;
