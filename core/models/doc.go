// Package models chooses a model for each request among models of different cost and quality, from the cost of each and from
// the confidence that the models stated in their answers so far.
//
// A model states its confidence before the caller has received any of the answer, so an answer of a small model with too
// little confidence can be dropped and the request escalated to a larger model. The expected cost of a choice is the price
// of its runs plus the worth of a right answer times the probability of a wrong one; the choice with the least expected cost
// is taken. A long prompt on a costly model costs a good part of the answer's worth, so such requests start with a small
// model, whereas short ones go to the largest model at once. The types of this package are not safe for concurrent use.
package models
