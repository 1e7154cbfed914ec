package membership

import (
	"fmt"
	"net"
	"slices"
	"strconv"

	"github.com/hashicorp/memberlist"
)

// addressIP is the IP address of the addresses that stand for hosts. Nothing is sent to it.
const addressIP = "127.0.0.1"

// hostList maps hosts to the addresses by which the memberlist library knows them. The port of an address is the host's
// place in the list, from 1. It is no real address, as each agent may reach another at a different one.
type hostList []string

// address returns the address that stands for a host.
func (h hostList) address(host string) *net.UDPAddr {
	return &net.UDPAddr{IP: net.ParseIP(addressIP), Port: 1 + slices.Index(h, host)}
}

// host returns the host that an address stands for. An error is an *UnknownMemberError.
func (h hostList) host(a memberlist.Address) (string, error) {
	if slices.Contains(h, a.Name) {
		return a.Name, nil
	}
	_, port, _ := net.SplitHostPort(a.Addr) // after an error the port is empty
	if i, err := strconv.Atoi(port); err == nil && i >= 1 && i <= len(h) {
		return h[i-1], nil
	}
	return "", &UnknownMemberError{Address: a}
}

// UnknownMemberError reports an address that stands for no agent of the configuration.
type UnknownMemberError struct {
	Address memberlist.Address
}

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("membership: address %v stands for no agent of the configuration", &e.Address)
}
