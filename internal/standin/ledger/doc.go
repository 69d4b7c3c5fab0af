// Package ledger is what every stand-in shares: the append-only record of what the stand-in saw, its
// faults, a listener whose open connections can be made silent, and the control port.
//
// The control port serves GET /log (JSON lines, ?since=SEQ), GET /counts, GET /faults and POST /fault
// {fault, value, for}. A fault lasts for "for" milliseconds; 0 means until it is cleared with a negative
// "for". A negative "for" clears the fault.
package ledger
