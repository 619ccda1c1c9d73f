/** What instances learn from the platform's store and announce there, in the product's own types. */
package org.jujuberouter.control;
