package fleet

import (
	"path/filepath"
	"strconv"
	"strings"
)

// Limits of names and addresses.
const (
	maxNameLength  = 40  // bytes
	maxSocketPath  = 100 // bytes
	maxPort        = 65_535
	unixPrefix     = "unix:"
	loopbackPrefix = "127."
)

// CheckName returns a *NameError unless the name is valid for a host, group, instance or command: at most maxNameLength
// letters, digits, dots, dashes and underscores, not beginning with a dot or a dash.
func CheckName(name string) error {
	if name == "" || len(name) > maxNameLength || name[0] == '.' || name[0] == '-' {
		return &NameError{name}
	}
	if strings.ContainsFunc(name, func(r rune) bool { return !isNameRune(r) }) {
		return &NameError{name}
	}
	return nil
}

// isNameRune reports whether a name may contain the character.
func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
}

// CheckAddress returns an *AddressError unless an agent can listen on the address: unix:PATH, or a loopback address
// with a port.
func CheckAddress(address string) error {
	path, isUnix := strings.CutPrefix(address, unixPrefix)
	if !isUnix {
		return checkTCPAddress(address)
	}
	if !filepath.IsAbs(path) || len(path) > maxSocketPath {
		return &AddressError{address}
	}
	return nil
}

// checkTCPAddress returns an *AddressError unless the address is a loopback address with a port.
func checkTCPAddress(address string) error {
	host, port, ok := strings.Cut(address, ":")
	n, err := strconv.Atoi(port)
	if !ok || err != nil || n < 1 || n > maxPort || !strings.HasPrefix(host, loopbackPrefix) {
		return &AddressError{address}
	}
	return nil
}
