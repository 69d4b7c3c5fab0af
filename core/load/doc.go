// Package load adds up what the VMs of a fleet have under way at each backend server.
//
// A VM of a large fleet sends a server one request in many, so its own counts say little about how busy the server is.
// Each VM therefore reports its counts to one VM of its failure domain, which hands back the sums of all others. A sum
// lags by the time that a report travels; placements compare only a few servers drawn at random, so that
// the VMs that read the same sums do not all choose the same server.
//
// The load that this answers is a burst in which long prompts pile up at a few servers while others are idle. Nothing
// here is safe for concurrent use.
package load
