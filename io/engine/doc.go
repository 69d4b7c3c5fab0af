// Package engine is the HTTP client for model engines: it starts, resumes and cancels generations and reads load reports.
//
// A Generate call is sent at most once. Its answer is read as a stream of events with a progress deadline for each read. The
// package makes no retries: its user decides whether to resume a generation.
package engine
