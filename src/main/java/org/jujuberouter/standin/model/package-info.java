/** A pure emulation of a model engine, for experiments in virtual time and for the HTTP stand-in. */
package org.jujuberouter.standin.model;
