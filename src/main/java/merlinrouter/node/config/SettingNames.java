package merlinrouter.node.config;

import java.util.List;

/**
 * Names in the configuration; the settings refer to each by its index in these lists.
 *
 * @param classes names of the request classes
 * @param plans names of the quota plans
 * @param zones names of the zones
 * @param machineTypes names of the machine types
 */
public record SettingNames(
    List<String> classes, List<String> plans, List<String> zones, List<String> machineTypes) {}
