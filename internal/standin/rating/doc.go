// Package rating is a stand-in for the service that rates answers.
//
// POST /rate {request, model, version, prompt, answer} gives {"rating": 0..100}. The rating depends on the
// quality of the model and on how hard the prompt is: a model of quality Q gives an answer rated 75 to 100
// to a share of Q percent of the prompts, and an answer rated below 55 to the others. The hardness of a
// prompt is the same for all models, so a better model satisfies a superset of the prompts.
//
// Ledger entries: rate, with request, model, version and the rating as number.
//
// Faults: delay (milliseconds), down (HTTP 503), silent (open connections fall silent).
package rating
