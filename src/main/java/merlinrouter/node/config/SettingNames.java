package merlinrouter.node.config;

import java.util.List;

/**
 * Names of the items that the settings identify by their indices in these lists.
 *
 * @param classes names of the request classes
 * @param plans names of the quota plans
 * @param zones names of the zones
 * @param machineTypes names of the machine types
 */
public record SettingNames(
    List<String> classes, List<String> plans, List<String> zones, List<String> machineTypes) {}
