// Package engine is a stand-in for a model engine (design page, section 4.2).
//
// It batches continuously: up to Slots generations run at once, each step gives every running generation
// one token, and a step takes longer with a larger batch. Waiting generations are admitted by priority,
// 0 first, then in order of arrival. A prefix cache shortens the time to the first token.
//
// Ledger entries:
//
//   - generate: one for each call, with request, attempt, model, version, session, outcome (run: it started
//     a generation; attach: it joined one; refused: nothing ran; failed: it ran and failed), code, and the
//     PromptID as key.
//   - end: a generation ended, with request, model, version, outcome (done, cancelled, crashed), tokens
//     and prompt tokens.
//   - cancel, order, load: calls of these kinds, with their outcome.
//
// Faults: error (probability of HTTP 500), refuse (503, nothing ran), slow (factor on step times), silent
// (open connections fall silent), close (closes after reading the request, nothing ran), bad
// ("MODEL@VERSION": that version fails with HTTP 500), crash (ends running generations and breaks their
// connections), leaving (reports leaving and refuses new work), jumble (probability that a token is lost on the
// way or that the one before it is sent again).
package engine
