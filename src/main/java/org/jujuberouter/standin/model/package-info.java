/** Emulation of a model engine without threads or I/O, for experiments in virtual time and for the HTTP stand-in. */
package org.jujuberouter.standin.model;
