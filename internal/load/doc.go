// Package load is an open-loop load generator: it sends requests to entry VMs at times drawn from a seed, whether or not earlier
// requests were answered, and checks every answer. The demo, the proof and the command shallotload use it to find answers that
// are damaged, cut or of the wrong model version while VMs and backend servers fail.
//
// An answer of a model must equal, byte for byte, the text that the engine stand-in generates for the model version in
// Shallot-Model. A stream that breaks is resumed at another entry VM with Last-Event-ID; its events must be numbered 1, 2, 3 and
// so on across all attempts. A request ends as
//
//   - answered: the end of the answer was received;
//   - refused: a problem details object was received, with its code and whether the request was run;
//   - broken: the connection closed or timed out and the request could not be resumed or retried, the events were out of order, or
//     no entry VM accepted a connection.
//
// A record whose field Wrong is not empty is a violation whatever its outcome: the answer is not what it must be.
package load
