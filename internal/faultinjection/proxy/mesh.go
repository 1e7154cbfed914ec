package proxy

// Mesh is a link from each of some hosts to each other, by name.
type Mesh struct {
	Names      []string
	directions map[route]*Direction
	links      map[route]*Link
}

// route is from one host to another, by name.
type route struct{ from, to string }

// NewMesh opens all links; addresses are the hosts' own, in the order of names.
func NewMesh(names, addresses []string) (*Mesh, error) {
	m := &Mesh{Names: names, directions: map[route]*Direction{}, links: map[route]*Link{}}
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

// Direction is the direction from one host to another; all links between them share it.
func (m *Mesh) Direction(from, to string) *Direction { return m.directions[route{from, to}] }

// Link is what a host dials to reach another; nil to itself.
func (m *Mesh) Link(from, to string) *Link { return m.links[route{from, to}] }

// Addresses are those by which a host reaches the others, by their names.
func (m *Mesh) Addresses(from string) map[string]string {
	addresses := map[string]string{}
	for _, to := range m.Names {
		if to != from {
			addresses[to] = m.Link(from, to).Address
		}
	}
	return addresses
}

// Isolate holds all that a host sends, all that it receives, or both; on false takes that back.
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

// Reset breaks all that is open between two hosts.
func (m *Mesh) Reset(a, b string) {
	for _, link := range []*Link{m.Link(a, b), m.Link(b, a)} {
		if link != nil {
			link.Reset()
		}
	}
}

// Close ends all links.
func (m *Mesh) Close() {
	for _, link := range m.links {
		link.Close()
	}
}
