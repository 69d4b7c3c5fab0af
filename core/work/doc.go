// Package work holds the plain types that describe a request on its way: ranks, backend servers, bills,
// refusals and results. It decides nothing.
package work
