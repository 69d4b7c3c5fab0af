// Package flow is the state machine of one request to a model on an entry VM: queue, dispatch, stream, resume, retry, bill,
// finish. It handles lost connections and failed servers in the middle of an answer.
//
// The driver calls [Flow.Step] with one event and carries out the one command that it returns; the result of the command is
// the next event. A flow reads no clock and no socket, so that the driver, tests and model checkers run the same code.
//
// Contract:
//   - A Call that may start a generation directly follows a Checked event for the same stage.
//   - Tokens are delivered in order, each number once, whichever attempts they came from.
//   - SaveBill is returned at most once, and before Finish, Abort or Drop.
//   - Refuse is returned only while nothing was delivered to the caller.
//   - A refusal has Ran set to work.NotRun only if no call was sent, or if every server that got one refused it.
//   - A flow ends after a finite number of events without a new token.
package flow
