// Package clock defines the types for time that all packages use: points in time and durations in whole milliseconds, and a
// clock that reads the system's clocks or, in tests, stands at a time that the test sets.
//
// Core packages never read the system's clock directly. They receive a [Time] with each call, or hold a [Clock] that a test
// sets by hand.
package clock
