// Package ledger holds what all stand-ins share: the append-only ledger of the calls and events that a stand-in recorded, fault
// injection, a listener whose open connections can be made silent, and the control port.
//
// The control port serves GET /log (JSON lines, ?since=SEQ), GET /counts, GET /faults and POST /fault {fault, value, for}. A
// fault lasts for "for" milliseconds. A "for" of 0 sets it until it is cleared, a negative "for" clears it.
package ledger
