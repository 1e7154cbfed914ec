package proxy

// Mesh is a link from each of some hosts to each other, by name.
type Mesh struct {
	Names []string
	ways  map[[2]string]*Direction
	links map[[2]string]*Link
}

// NewMesh opens all links; at are the hosts' own addresses, in the order of names.
func NewMesh(names, at []string) (*Mesh, error) {
	m := &Mesh{Names: names, ways: map[[2]string]*Direction{}, links: map[[2]string]*Link{}}
	for _, a := range names {
		for _, b := range names {
			m.ways[[2]string{a, b}] = NewDirection()
		}
	}
	for _, a := range names {
		for i, b := range names {
			if a == b {
				continue
			}
			k, err := Open(at[i], m.Way(a, b), m.Way(b, a))
			if err != nil {
				m.Close()
				return nil, err
			}
			m.links[[2]string{a, b}] = k
		}
	}
	return m, nil
}

// Way is the direction from one host to another; all links between them share it.
func (m *Mesh) Way(from, to string) *Direction { return m.ways[[2]string{from, to}] }

// Link is what a host dials to reach another; nil to itself.
func (m *Mesh) Link(from, to string) *Link { return m.links[[2]string{from, to}] }

// To lists the addresses by which a host reaches the others.
func (m *Mesh) To(from string) map[string]string {
	to := map[string]string{}
	for _, b := range m.Names {
		if b != from {
			to[b] = m.Link(from, b).Address
		}
	}
	return to
}

// Alone cuts a host off in the directions asked for, or takes that back.
func (m *Mesh) Alone(name string, speaks, hears, on bool) {
	for _, other := range m.Names {
		if speaks {
			m.Way(name, other).Hold(on)
		}
		if hears {
			m.Way(other, name).Hold(on)
		}
	}
}

// Reset breaks all that is open between two hosts.
func (m *Mesh) Reset(a, b string) {
	for _, k := range []*Link{m.Link(a, b), m.Link(b, a)} {
		if k != nil {
			k.Reset()
		}
	}
}

// Close ends all links.
func (m *Mesh) Close() {
	for _, k := range m.links {
		k.Close()
	}
}
