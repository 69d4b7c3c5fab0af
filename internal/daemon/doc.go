// Package daemon is the entry daemon as one process: it builds every part from the settings, runs them, and
// shuts them down in order.
package daemon
