// Package cascade decides which stage of a cascade a request starts with and whether an answer is good enough.
//
// A cascade has stages from cheap to costly and a target for the average rating. The rule is a [Policy]: [Cheap],
// [Costly] and [Ladder] are baselines, [Learned] is what the daemon uses. It learns the ratings of each stage for
// each kind of request, a bucket of workspace and prompt length, from ratings that may come in time, late or never.
//
// Learned compares cost and quality by one number for each cascade, its worth: the points of rating that one answer
// of the last stage is worth its cost for. It grows while answers average above the target and shrinks while they are
// below, so the average settles at the target whatever the mix is, and the cost is what that quality needs.
//
// While ratings are missing the fallback of the cascade applies. State is bounded: at most [MaxCascades] cascades
// with [Kinds] kinds each, without values that a caller chooses. Nothing is shared between entry VMs. A Chooser is
// not safe for concurrent use.
package cascade
