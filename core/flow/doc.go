// Package flow is the state machine of one request to a model: queue, dispatch, stream, resume, retry,
// bill, finish.
//
// The driver calls [Flow.Step] with one event and carries out the one command that it returns; the result
// of the command is the next event. A flow reads no clock and no socket, so that the driver, tests and
// model checkers run the same code.
//
// Contract:
//   - A Call that may start a generation follows a Checked event for the same stage directly.
//   - Tokens are delivered in order, each number once, whatever attempts brought them.
//   - File is returned at most once, and before Finish, Break or Drop.
//   - Refuse is returned only while nothing was delivered to the caller.
//   - A refusal says "not run" only if no call was sent, or every server that got one said that it refused.
//   - A flow ends after finitely many events that bring no new token.
package flow
