package merlinrouter.node.config;

import java.util.List;

/**
 * The names that stand for the indices in the settings, each at its index.
 *
 * @param classes names of the request classes
 * @param plans names of the quota plans
 * @param zones names of the zones
 * @param machineTypes names of the machine types
 */
public record SettingNames(
    List<String> classes, List<String> plans, List<String> zones, List<String> machineTypes) {}
