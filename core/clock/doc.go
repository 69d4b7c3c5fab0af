// Package clock is the time type of the project: milliseconds, from a real or a manual source.
//
// Core packages never read a wall clock. They take a [Time] with each message, or hold a [Clock] that a
// test sets by hand.
package clock
