package membership

import (
	"fmt"
	"net"
	"slices"
	"strconv"

	"github.com/hashicorp/memberlist"
)

// placeholderIP is the IP address of the placeholder addresses of hosts. Nothing is sent to it.
const placeholderIP = "127.0.0.1"

// hostList maps hosts to placeholder addresses for the memberlist library. The port of a placeholder address is the
// one-based index of the host in the list. Real addresses would not do, because they may differ between agents.
type hostList []string

// address returns the placeholder address of a host.
func (h hostList) address(host string) *net.UDPAddr {
	return &net.UDPAddr{IP: net.ParseIP(placeholderIP), Port: 1 + slices.Index(h, host)}
}

// host returns the host of a placeholder address. Its error is an *UnknownMemberError.
func (h hostList) host(a memberlist.Address) (string, error) {
	if slices.Contains(h, a.Name) {
		return a.Name, nil
	}
	_, port, _ := net.SplitHostPort(a.Addr) // on an error the port is empty
	if i, err := strconv.Atoi(port); err == nil && i >= 1 && i <= len(h) {
		return h[i-1], nil
	}
	return "", &UnknownMemberError{Address: a}
}

// UnknownMemberError reports an address that belongs to none of the configured agents.
type UnknownMemberError struct {
	Address memberlist.Address
}

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("membership: address %v belongs to no configured agent", &e.Address)
}
