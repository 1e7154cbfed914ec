package fleet

import (
	"path/filepath"
	"strconv"
	"strings"
)

// Limits of names and addresses.
const (
	maxNameLength = 40  // bytes
	maxSocketPath = 100 // bytes
	unixPrefix    = "unix:"
)

// CheckName returns a *NameError unless a name of a host, group, instance or command can be used: letters, digits, dots,
// dashes and underscores, up to maxNameLength of them, not beginning with a dot or a dash.
func CheckName(s string) error {
	bad := func(r rune) bool {
		good := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
		return !good
	}
	if s == "" || len(s) > maxNameLength || s[0] == '.' || s[0] == '-' || strings.ContainsFunc(s, bad) {
		return &NameError{s}
	}
	return nil
}

// CheckAddress returns an *AddressError unless an agent's address can be used: unix:PATH, or a loopback address with a port.
func CheckAddress(a string) error {
	if path, ok := strings.CutPrefix(a, unixPrefix); ok {
		if !filepath.IsAbs(path) || len(path) > maxSocketPath {
			return &AddressError{a}
		}
		return nil
	}
	host, port, ok := strings.Cut(a, ":")
	n, err := strconv.Atoi(port)
	if !ok || err != nil || n < 1 || n > 65535 || !strings.HasPrefix(host, "127.") {
		return &AddressError{a}
	}
	return nil
}
