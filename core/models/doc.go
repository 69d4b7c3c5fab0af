// Package models chooses among models of unlike cost and quality for a request, from what each costs and how sure the models
// were of their answers so far.
//
// A model states its confidence before the caller has anything of the answer. An answer of a small model that is not
// sure can be dropped and asked of the largest model. The expected total of a choice is the price of the runs plus the
// worth of a right answer times the chance that the answer is wrong; the choice with the least total is made. Long prompts
// on a costly model cost a good part of an answer's worth, so they start small; short ones go to the largest model at once.
// Nothing here is safe for concurrent use.
package models
