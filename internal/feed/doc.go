// Package feed keeps a VM's copy of the objects in the platform's store up to date: the configuration, the backend servers,
// the orders to change a service's version and the entries of the VMs that others may follow. It also passes changes on to
// the VMs that follow this one instead of the store, and combines the results of orders, the loads and the crashes of backend
// servers that they report.
//
// Each kind of object is listed once and then watched. A watch that fails is retried from the same revision; when the store
// no longer has the changes since that revision, the kind is listed again. A VM is synchronised when it has listed every kind
// once, and uses nothing before that. While the store is unavailable, the last known objects stay in use; requests that need
// an API key are served only within the bound of core/fresh.
package feed
