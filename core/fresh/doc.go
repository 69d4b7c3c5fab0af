// Package fresh decides how long a VM may serve requests by its last known configuration from the platform's store.
//
// An API key that an operator revokes must not be served for longer than a bound after the store accepted the change, even
// by a VM that is cut off from the store. So a VM serves requests with a key only while it can prove that its configuration
// was the newest one at a time that is within the bound. Times are readings of a clock that runs while the VM is suspended.
package fresh
