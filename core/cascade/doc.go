// Package cascade decides with which stage of a cascade a request starts and whether an answer is good enough.
//
// A cascade has stages from cheap to costly and a target for the average rating of its answers. The rule is a [Policy]:
// [AlwaysFirst], [AlwaysLast] and [EachStage] are baselines for comparison, [Learned] is what the daemon uses. It learns the
// ratings of each stage for each kind of request, which is a bucket of workspace and prompt length, from ratings that come in
// time, late or never.
//
// Learned compares cost and quality by one number for each cascade, its worth: how many points of rating justify the cost of
// one answer of the last stage. The worth grows while answers average above the target and shrinks while they are below, so
// that the average settles at the target whatever the mix of requests is, at no more cost than that quality needs.
//
// While ratings are missing the fallback of the cascade applies. State is bounded: at most [MaxCascades] cascades with
// [Kinds] kinds each, and no values that a caller chooses. Entry VMs share no state. A Chooser is not safe for concurrent
// use.
package cascade
