// Package catalog holds the configuration that an operator keeps in the platform's store: routes, the services that they
// send requests to, and the workspaces with their API keys. It finds the route of a request and the workspace of a key.
//
// A Config is plain data and is not changed after it was read. A Table is the index of one Config and is safe for concurrent
// use. Current holds the table in force and never reverts to a lower version, so that a late read of the store restores
// neither an old route nor a revoked key.
package catalog
