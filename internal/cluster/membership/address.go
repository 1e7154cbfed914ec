package membership

import (
	"fmt"
	"net"
	"slices"
	"strconv"

	"github.com/hashicorp/memberlist"
)

// hostList maps hosts to the addresses by which the library knows them. An address is made of a host's place in the list,
// as each agent may reach another by an address of its own.
type hostList []string

// address returns the address that stands for a host.
func (h hostList) address(host string) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1 + slices.Index(h, host)}
}

// host returns the host that an address of the library stands for. It returns an *UnknownMemberError for none.
func (h hostList) host(a memberlist.Address) (string, error) {
	if slices.Contains(h, a.Name) {
		return a.Name, nil
	}
	_, port, _ := net.SplitHostPort(a.Addr) // what can't be split has no port
	if i, err := strconv.Atoi(port); err == nil && i >= 1 && i <= len(h) {
		return h[i-1], nil
	}
	return "", &UnknownMemberError{a}
}

// UnknownMemberError is returned for an address that stands for no agent of the configuration.
type UnknownMemberError struct{ Address memberlist.Address }

func (e *UnknownMemberError) Error() string { return fmt.Sprintf("members: %v is nobody", e.Address) }
