package peer

import "net/netip"

// IsAddress reports whether a text is an address of a daemon: IP:port. Names of hosts are no
// addresses, because resolving them may take seconds.
func IsAddress(text string) bool {
	_, isAddress := parseAddress(text)
	return isAddress
}

func parseAddress(text string) (address netip.AddrPort, isAddress bool) {
	address, err := netip.ParseAddrPort(text)
	return address, err == nil && address.Port() > 0
}
