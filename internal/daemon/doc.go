// Package daemon assembles the entry daemon of a VM: it builds every part from the settings, runs the parts, and shuts them
// down in order, so that requests in flight finish before the parts that they need stop.
package daemon
