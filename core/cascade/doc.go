// Package cascade chooses which stage of a cascade, cheap or costly, runs first for a request, and whether its answer is
// good enough or the next stage has to run.
//
// The choice is a [Policy]: [Always] and [Fixed] are the baselines, [Learned] is what the daemon uses. It learns from
// the ratings of the answers, which may arrive late or never, by class of request: it looks for the rule with the least
// cost whose expected mean rating reaches the target, and follows changes of the mix and of the models.
//
// While the rating service does not respond, the configured fallback stage runs and nobody waits for a rating, except for
// a probe now and then. A Chooser is not safe for concurrent use.
package cascade
