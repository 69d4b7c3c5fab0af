// Package command implements the operator command shallotctl: it validates, shows, compares and changes the configuration
// document in the platform's store, and shows which document is in force on the entry VMs.
//
// Run returns the exit code. The codes are constants that scripts may rely on.
package command
