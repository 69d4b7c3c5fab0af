// Package quarantine finds the part of prompts, or the single request, on which backend servers end, and decides which requests are
// refused because of it.
//
// A [Ledger] holds the crashes that the VMs of a fleet saw: the process of a server ended as it began the answer to a request, or
// before. Each crash names the first shared parts of that request's prompt, and the request itself as one more part ([WholeRequest]), and
// has the hashes of the further shared parts ([Tail]) that nothing has cleared: any of them may be to blame, however many there are. A
// part is cleared of a crash when a later answer to any request with it is started, on any VM. Of the parts that enough crashes have in
// common and that nothing has cleared, the most likely one is quarantined: requests with it are refused. A part that was never answered
// comes before one that was, then the one at which most servers ended, then the one that fewer requests have. Parts that have occurred
// only together are quarantined together, so a request is refused only if it has all of them.
//
// A request is one part with its prompt and, if it has a body, another one without it (Content.Body), as it may come again with another
// prompt. A body that is answered with some prompt is that of many requests, and is no suspect for a while.
//
// A quarantine of a shared part needs crashes of several servers, at different moments, under different prompts, because many
// servers can end at the same moment for another reason while they answer requests that have a part in common. A whole request
// is quarantined without different prompts. If all crashes are those of one workspace, only its requests are refused, so that a
// workspace cannot have the parts of another one refused. The quarantine ends when an answer to a request with the part is
// started, or when no such request has come for a while. While the crashes are remembered, one more is enough to put it in force
// again. So that a wrong quarantine ends, a few requests are sent in spite of it (see trial.go).
//
// Ledgers are merged by [Message]s between a VM and the one that it follows. Only changes are sent. Records are merged by
// maximum and union, and hashes that are not cleared by intersection, so the order and number of merges does not matter. Times are sent as ages.
//
// The package uses no clock, lock or network. Its types are not safe for concurrent use.
package quarantine
