// Package share divides the slots of the backend servers of one pool among the entry VMs of a failure domain.
//
// The pool's [Owner] grants slots to the entry VMs by their demand. A [Holder] on each entry VM says how many requests
// may run at each server. Grants expire; without an owner a holder falls back to an equal part, so that the loss of an
// owner costs balance and not service.
//
// While the owner knows of all holders, the grants that are in force never exceed a server's slots: a slot that is taken
// back counts as granted until its holder has confirmed or its grant has expired. An owner that starts grants no more
// than what the holders report to have, until all of them have reported or every grant of a former owner has expired.
//
// Fixed equal parts and power of two choices on lagging load are the baselines; both need no code here.
package share
