// Package bench measures the decision packages against their goals and their naive baselines in the same run.
//
// A virtual clock drives the decision code with arrivals and a simple service model of the engines: slots, a
// prefill that serves one chunk at a time, a token interval that grows with the load, and a prefix cache. It is no
// simulator of the fleet: there are no processes, messages or sockets, and no absolute figure is a forecast. Each
// comparison uses the same seeds and arrivals for the policy and its baseline.
package bench
