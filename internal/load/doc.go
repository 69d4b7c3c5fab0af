// Package load sends requests to entry VMs at the times that a seed gives, whether or not earlier ones
// were answered (open loop), and checks every answer.
//
// An answer of a model must equal, byte for byte, the text that the engine stand-in gives for the model
// version named in Shallot-Model. A stream that breaks is continued at another entry VM with
// Last-Event-ID; the numbers of its events must be 1, 2, 3 and so on over all parts. A request ends as
//
//   - answered: the whole answer came;
//   - refused: a problem details object came, with its code and what it says about whether the request ran;
//   - broken: the connection broke or fell silent, and no continuation was possible.
//
// The text in Wrong is not empty if the answer is not what it must be: such a record is a violation
// whatever its outcome.
package load
