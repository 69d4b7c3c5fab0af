// Package feed keeps a VM in step with the platform's store: the configuration, the backend servers and the orders to
// change a service's version.
//
// Each kind of object is listed once and then watched. A watch that fails is tried again from the same revision; when the
// store has dropped that history, the kind is listed anew. A VM is synchronised when it has listed every kind once, and
// acts on nothing before that. What was read stays in force while the store is away, within the bound of core/fresh for
// what needs a key.
package feed
