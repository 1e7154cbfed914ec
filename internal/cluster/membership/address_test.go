package membership

import (
	"errors"
	"testing"

	"github.com/hashicorp/memberlist"
)

// TestHostAddressRoundTrips checks that a host is found by its placeholder address and by its name.
func TestHostAddressRoundTrips(t *testing.T) {
	hosts := hostList{"h1", "h2"}
	for _, host := range hosts {
		for _, address := range []memberlist.Address{
			{Addr: hosts.address(host).String()},
			{Addr: "10.0.0.1:99", Name: host},
		} {
			if got, err := hosts.host(address); got != host || err != nil {
				t.Errorf("host of %+v: %q, error %v, want %s", address, got, err, host)
			}
		}
	}
}

// TestUnknownAddressIsAnError checks that an address that belongs to no host is an *UnknownMemberError.
func TestUnknownAddressIsAnError(t *testing.T) {
	const problem = " belongs to no configured agent"
	hosts := hostList{"h1", "h2"}
	for _, test := range []struct {
		name    string
		address memberlist.Address
		want    string
	}{
		{"port below the first", memberlist.Address{Addr: "127.0.0.1:0"}, "membership: address 127.0.0.1:0" + problem},
		{"port above the last", memberlist.Address{Addr: "127.0.0.1:3"}, "membership: address 127.0.0.1:3" + problem},
		{"no port", memberlist.Address{Addr: "no port"}, "membership: address no port" + problem},
		{
			"unknown name",
			memberlist.Address{Addr: "127.0.0.1:3", Name: "h9"},
			"membership: address h9 (127.0.0.1:3)" + problem,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := hosts.host(test.address)
			unknown, ok := errors.AsType[*UnknownMemberError](err)
			if !ok || unknown.Address != test.address || err.Error() != test.want {
				t.Errorf("error %v, want %s", err, test.want)
			}
		})
	}
}
