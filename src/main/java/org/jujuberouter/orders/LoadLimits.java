package org.jujuberouter.orders;

import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;

/**
 * The limits that the operators set for loads.
 *
 * @param loadsAtOnce the number of loads that may be pending at the same time, over all instances
 * @param loadsPerMinute the number of loads that may start within a minute, over all instances
 * @param maxOutOfServiceShare the share of a model's engines that may be out of service because of loads; one engine is
 *     always allowed
 */
public record LoadLimits(int loadsAtOnce, int loadsPerMinute, double maxOutOfServiceShare) {
    /** Returns the limits in the settings. */
    public static LoadLimits of(Settings settings) {
        SettingTarget global = new SettingTarget.Global();
        return new LoadLimits(
                (int) settings.integer(global, "orders.loads-at-once"),
                (int) settings.integer(global, "orders.loads-per-minute"),
                settings.number(global, "orders.out-share"));
    }

    /** Returns how many of a model's engines may be out of service because of loads. */
    public int maxOutOfService(int engines) {
        return Math.max(1, (int) Math.floor(maxOutOfServiceShare * engines + 1e-9));
    }
}
