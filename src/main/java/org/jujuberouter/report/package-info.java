/** Request records and service-level reports: the rate at which each objective's error budget burns. */
package org.jujuberouter.report;
