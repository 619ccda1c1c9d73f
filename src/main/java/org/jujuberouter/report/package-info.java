/** Records of single requests and reports on them: how fast each objective's error budget burns. */
package org.jujuberouter.report;
