// Package cascade decides which stage of a cascade a request starts with and whether an answer is good enough.
//
// A cascade has stages from cheap to costly and a target for the average rating. The rule is a [Policy]: [Cheap],
// [Costly] and [Ladder] are baselines, [Learned] is what the daemon uses. It learns the ratings of each stage for
// each kind of request, a bucket of workspace and prompt length, from ratings that may come in time, late or never.
//
// The last stage is never rated, so its answers are taken to reach the target. While ratings are missing the
// fallback of the cascade applies. State is bounded: at most [MaxCascades] cascades with [Kinds] kinds each, without
// values that a caller chooses. Nothing is shared between entry VMs. A Chooser is not safe for concurrent use.
package cascade
