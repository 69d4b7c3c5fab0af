// Package engine is a stand-in for a model engine (design page, section 4.2).
//
// It uses continuous batching: up to Slots generations run at once, each step generates one token for every running generation,
// and a step takes longer with a larger batch. Waiting generations are admitted by priority, 0 first, then in order of arrival. A
// prefix cache shortens prefill and so the time to the first token.
//
// Ledger entries:
//
//   - generate: one for each call, with request, attempt, model, version, session, outcome (run: it started a generation;
//     attach: it joined an existing one; refused: nothing ran; failed: it ran and failed), code, and the PromptID as key.
//   - end: a generation ended, with request, model, version, outcome (done, cancelled, crashed), tokens and prompt tokens.
//   - cancel, order: calls of these kinds, with their outcome. Calls for the load report and the cache events are counted only.
//
// Faults: error (probability of HTTP 500), refuse (503, nothing ran), slow (factor on step times), silent (nothing more arrives
// on open connections), close (closes after reading the request, nothing ran), bad ("MODEL@VERSION" or
// "MODEL@VERSION=PROBABILITY": that version fails with HTTP 500), crash (ends all generations and closes their connections),
// leaving (reports that it drains and refuses new work), jumble (probability that a token is not sent or that the token before it
// is sent again).
package engine
