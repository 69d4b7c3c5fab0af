// Package limit holds what backend servers say in their answers to all VMs: the rate of requests that a server in need takes from
// all VMs together, for as long as its answers say so, and that a server leaves and takes no new requests.
//
// A [Table] records what the answers say, those to this VM and those to others, which arrive along the tree of VMs. The newest
// answer counts. A limit has ended when a server answers without one, to a request that was sent after an answer with it came to
// any VM: an older request may be answered late. A limit of which nothing is heard stays in force for ten minutes; its server is gone then.
// That a server leaves is never taken back; a server that starts again under its name is another one.
// The table only knows what was said; core/share divides them among the VMs.
//
// The package uses no clock, lock or network. Its types are not safe for concurrent use.
package limit
