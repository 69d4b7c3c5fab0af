// Package loopback gives processes of one machine addresses of their own.
//
// An address that is free now can be taken before a process listens on it: each connection from 127.0.0.1 takes a port there, and so do the
// tests of other packages. The addresses of this package are not taken that way. They lie on IP addresses that no other process
// of the tests uses, and their ports are below those that the system gives to connections.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// port is below the ports that systems give to connections by default, 32768 and more.
const port = 20000

var given atomic.Uint32

// Addr returns an address, IP:port, that nobody has. It differs from every other one of this process and of processes that run at the
// same time. At most 65,025 addresses are given to a process.
func Addr() string {
	n := given.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d:%d", 100+os.Getpid()>>8&0x7f, os.Getpid()&0xff, 1+n%255, port+n/255)
}
