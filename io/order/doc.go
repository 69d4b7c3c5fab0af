// Package order is the HTTP client with which a controller sends orders to model engines: load or unload a version, or
// set a role. Each order carries a fencing token, so that an engine can refuse a controller that has lost its lease.
// An order is sent once and never retried; after a lost response the controller reads the engine's load report.
package order
