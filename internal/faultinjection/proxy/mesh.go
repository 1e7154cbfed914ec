package proxy

// Mesh connects each host to every other host by a link.
type Mesh struct {
	Names      []string // of the hosts
	directions map[route]*Direction
	links      map[route]*Link
}

// route is the pair of hosts of a direction or link.
type route struct {
	from string // name of the sending or dialling host
	to   string // name of the other host
}

// NewMesh opens the links between all hosts. The addresses are those that the hosts listen at, in the order of the
// names.
func NewMesh(names, addresses []string) (*Mesh, error) {
	m := &Mesh{
		Names:      names,
		directions: map[route]*Direction{},
		links:      map[route]*Link{},
	}
	for _, from := range names {
		for _, to := range names {
			m.directions[route{from, to}] = NewDirection()
		}
	}
	for _, from := range names {
		for i, to := range names {
			if from == to {
				continue
			}
			link, err := Open(addresses[i], m.Direction(from, to), m.Direction(to, from))
			if err != nil {
				m.Close()
				return nil, err
			}
			m.links[route{from, to}] = link
		}
	}
	return m, nil
}

// Direction returns the direction from one host to another. All links between the two hosts share it.
func (m *Mesh) Direction(from, to string) *Direction { return m.directions[route{from, to}] }

// Link returns the link that a host dials to reach another host, or nil for the host itself.
func (m *Mesh) Link(from, to string) *Link { return m.links[route{from, to}] }

// Addresses returns the addresses that a host dials to reach the others, by their names.
func (m *Mesh) Addresses(from string) map[string]string {
	addresses := map[string]string{}
	for _, to := range m.Names {
		if to != from {
			addresses[to] = m.Link(from, to).Address
		}
	}
	return addresses
}

// Isolate starts or stops holding the bytes that a host sends, receives, or both.
func (m *Mesh) Isolate(name string, sends, receives, on bool) {
	for _, other := range m.Names {
		if sends {
			m.Direction(name, other).Hold(on)
		}
		if receives {
			m.Direction(other, name).Hold(on)
		}
	}
}

// Reset resets all connections between two hosts.
func (m *Mesh) Reset(a, b string) {
	for _, link := range []*Link{m.Link(a, b), m.Link(b, a)} {
		if link != nil {
			link.Reset()
		}
	}
}

// Close closes all links.
func (m *Mesh) Close() {
	for _, link := range m.links {
		link.Close()
	}
}
