// Package layers checks that packages import only their own layer and those below it: programs, then
// protocol (io), then coordination and state (core). It holds nothing but the test.
package layers
