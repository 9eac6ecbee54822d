package peer

import (
	"net"
	"net/url"
	"strconv"
)

// ValidAddress reports whether a text is an address at which a host can be called: a name
// or an IP address, with a port.
func ValidAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return false
	}
	// The address becomes part of a URL.
	u, err := url.Parse("http://" + address)
	return err == nil && u.Host == address
}
