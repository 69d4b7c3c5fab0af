// Package config holds the configuration in force on one entry VM.
//
// The [Store] receives documents through [Store.Offer] and puts a document in force if it is valid and its revision is higher
// than that of the document in force. It implements the Documents interface of internal/entry. Documents come from the
// platform's store, by the [Watcher], and from peers, so that a VM gets new ones during an outage of the store. After a pause
// of the process, the Store reports that it is not fresh until the current revision is confirmed or a timeout has passed, so
// that a version withdrawn during the pause gets no new work. The [Writer] changes the document in the platform's store by
// conditional update.
package config
