package org.jujuberouter.gateway;

import java.net.InetSocketAddress;
import org.jujuberouter.duty.DutySettings;

/**
 * The calls to the platform that only one instance at a time may make.
 *
 * @param address address of the platform's API
 * @param settings the duties in force and their bounds
 */
public record DutyOptions(InetSocketAddress address, DutySettings settings) {}
