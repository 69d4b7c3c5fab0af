// Package engine is the HTTP client for model engines: generate, cancel, load and orders.
//
// A Generate call is sent once. Its answer is read as a stream of events with a progress deadline for each
// read; nothing is repeated here. The caller of the package decides whether to resume.
package engine
