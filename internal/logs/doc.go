// Package logs writes log lines without ever making the request path wait.
//
// Lines go into a buffer that one goroutine writes out. When the buffer fills up because the output is slow, lines about
// what went well are dropped first: they may use only half of the buffer, lines of level warn and above all of it. What was
// dropped is counted, and the count is written as a line of its own when there is room again.
package logs
