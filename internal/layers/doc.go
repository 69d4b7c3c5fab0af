// Package layers tests that packages import only packages of their own layer and those below it, from top to bottom: programs
// (cmd, internal), protocol (io), coordination and state (core). It also tests that the names of the users' platform are used in
// package platform only. It contains only tests.
package layers
