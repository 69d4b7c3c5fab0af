// Package scale measures what control costs an entry VM as the fleet grows. It runs real entry daemons
// without load, on loopback addresses in ten failure domains, and gives processor time, memory, network
// bytes and platform calls per VM, and the time until a change of the configuration is in force at the
// slowest VM.
package scale
