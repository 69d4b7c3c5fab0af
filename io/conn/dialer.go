package conn

import "net"

// Dialer returns a dialer that binds its connections to a local IP address, "" for any. If a VM has several addresses, or
// several VMs run on one machine, others can identify a VM by its connections only if these come from its announced address.
func Dialer(source string) net.Dialer {
	if ip := net.ParseIP(source); ip != nil && !ip.IsUnspecified() {
		return net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}
	}
	return net.Dialer{}
}
