/** Which instance admits for which endpoint, and what each may use while that is in doubt. */
package org.jujuberouter.ownership;
