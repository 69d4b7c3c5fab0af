// Package loopback assigns addresses to the processes of tests that run on one machine.
//
// An address that is free now can be in use before a process listens on it: each connection from 127.0.0.1 occupies a port there,
// and so do the tests of other packages. The addresses of this package avoid both: their IP addresses are used by no other
// process of the tests, and their ports are below the range from which the system assigns ports to connections.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort is below the ports that systems assign to connections by default, 32768 and above.
const firstPort = 20000

var assigned atomic.Uint32

// Addr returns an unused address, IP:port. It differs from all others of this process, and from those of processes that run at
// the same time unless their process IDs are equal modulo 32,768. The first 65,025 addresses of a process have ports below
// firstPort + 255.
func Addr() string {
	n := assigned.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d:%d", 100+os.Getpid()>>8&0x7f, os.Getpid()&0xff, 1+n%255, firstPort+n/255)
}
