// Package cold decides which backend servers get no more requests than a cold server takes. A server is cold for some seconds after
// it has started, and may become cold again; its entry says for how long, and the configuration says how many requests a second a
// cold server of its service takes from all VMs together.
//
// A [Tracker] turns that into limits, which core/share divides among the VMs like those that servers name in their answers. When the
// time is over the limit ends at once; the load that the VMs tell each other then spreads the requests as at any idle server.
//
// The package uses no clock, lock or network. Its types are not safe for concurrent use.
package cold
