package org.jujuberouter.orders;

import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;

/**
 * The operators' bounds on loads.
 *
 * @param loadsAtOnce loads under way at the same time over all instances
 * @param loadsPerMinute loads started within a minute over all instances
 * @param outShare the share of a model's engines that loads may take out of service at once; one engine is always allowed
 */
public record LoadLimits(int loadsAtOnce, int loadsPerMinute, double outShare) {
    /** Returns the rules that the settings give. */
    public static LoadLimits of(Settings settings) {
        SettingTarget global = new SettingTarget.Global();
        return new LoadLimits(
                (int) settings.integer(global, "orders.loads-at-once"),
                (int) settings.integer(global, "orders.loads-per-minute"),
                settings.number(global, "orders.out-share"));
    }

    /** Returns how many of a model's engines may be out of service because of loads. */
    public int allowedOut(int engines) {
        return Math.max(1, (int) Math.floor(outShare * engines + 1e-9));
    }
}
