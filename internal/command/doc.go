// Package command is the operator command shallotctl: it validates, shows, compares and changes the
// configuration document in the platform, and asks the entry VMs what is in force.
//
// Run returns the exit code, which scripts may rely on; see the constants.
package command
