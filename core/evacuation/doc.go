// Package evacuation keeps the failure domains that the operator has evacuated: nothing new may be sent to their backend servers until
// the operator takes that back.
//
// An evacuation that is known stays in force while the store does not answer. One that the store lost, because it came back from an
// older copy, stays for as long as the operator needs to write it again. Requests that run in an evacuated domain go on.
//
// The package uses no clock, lock or network. A [Set] is not safe for concurrent use.
package evacuation
