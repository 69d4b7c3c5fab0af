// Package platform is a stand-in for the platform's store and its list of VMs (design page, section 4.3).
//
//	GET    /objects/KIND/NAME                    {kind, name, version, value}, 404
//	PUT    /objects/KIND/NAME?if=absent|VERSION  body is the value; {kind, name, version}, 409, 413, 429
//	DELETE /objects/KIND/NAME?if=VERSION         {kind, name, version}, 404, 409
//	GET    /objects/KIND?prefix=P                {version, items: [{kind, name, version, value}]}
//	GET    /watch/KIND?since=VERSION&wait=MS     {version, items: [... with "deleted": true for deletions]}
//	GET    /vms                                  [{name, addr, peer, domain, kind, pool, state, since}]
//
// A value that is JSON is returned as JSON, any other as a base64 string. A 409 reply is {code: "conflict", version} with the
// version of the existing object, 0 if there is none. Versions are store-wide and only grow. Names may contain further slashes.
//
// The control port also serves POST /vms (one row), DELETE /vms/NAME, and GET /objects/KIND, which is not counted and works
// during every fault.
//
// Ledger entries: put and delete with kind as code, object as name, version as number and outcome (done, conflict, lost: done
// without a reply). Reads, lists and watches are counted only.
//
// Faults: down (HTTP 503 for every call), silent (nothing more arrives on open connections), slow (delay in milliseconds), lose
// (probability that a change takes effect and the connection closes without a reply), freeze (the list of VMs does not change).
package platform
