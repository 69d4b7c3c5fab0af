// Package logs writes log lines without blocking the goroutines that serve requests.
//
// Lines go into a bounded buffer that one goroutine writes to the output. When the buffer fills up because the output is slow,
// lines below level warn are dropped first: they may use only half of the buffer, the others all of it. The number of dropped
// lines is logged at the next flush.
package logs
