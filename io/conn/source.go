package conn

import "net"

// Dialer returns a dialer whose connections leave from an IP address of this VM, "" for any. A VM with
// several addresses, and several VMs on one machine, can be told apart by the others only if their
// connections come from the address that they are known by.
func Dialer(source string) net.Dialer {
	if ip := net.ParseIP(source); ip != nil && !ip.IsUnspecified() {
		return net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}
	}
	return net.Dialer{}
}
