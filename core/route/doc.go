// Package route resolves the model name in a caller's request for the entry daemon. It maps an API key to its workspace, a
// name (a route, a cascade, MODEL or MODEL@VERSION) to the versions that the workspace may use, and checks again at dispatch
// that a version may get new work, because it may have been withdrawn or halted while the request was queued.
//
// A Table is compiled from one configuration document and is never changed. Random numbers and the state of the rest of the
// daemon are passed in as arguments, so that the same arguments always give the same result.
package route
