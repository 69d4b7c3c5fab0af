// Package rating is a stand-in for the service that rates answers.
//
// POST /rate {request, model, version, prompt, answer} returns {"rating": 0..100}. The rating depends on the quality of the model
// and the difficulty of the prompt: the answers of a model of quality Q are rated 75 to 100 for Q percent of the prompts, and
// below 55 for the others. The difficulty of a prompt is the same for all models, so a better model satisfies a superset of the
// prompts.
//
// Ledger entries: rate, with request, model, version and the rating as number.
//
// Faults: delay (milliseconds), down (HTTP 503), silent (nothing more arrives on open connections).
package rating
