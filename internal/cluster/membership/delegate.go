package membership

import (
	"encoding/binary"

	"github.com/hashicorp/memberlist"
)

// incarnationBytes is the length of the metadata: the incarnation as a big-endian integer.
const incarnationBytes = 8

// metadata is the library's delegate: it announces this agent's incarnation and exchanges no further state.
type metadata struct{ incarnation uint64 }

// NodeMeta implements memberlist.Delegate.
func (m metadata) NodeMeta(int) []byte { return binary.BigEndian.AppendUint64(nil, m.incarnation) }

// NotifyMsg implements memberlist.Delegate.
func (metadata) NotifyMsg([]byte) {}

// GetBroadcasts implements memberlist.Delegate.
func (metadata) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (metadata) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (metadata) MergeRemoteState([]byte, bool) {}

// changes is the library's event delegate: it takes changes over into a List.
type changes struct{ list *List }

// NotifyJoin implements memberlist.EventDelegate.
func (c changes) NotifyJoin(n *memberlist.Node) { c.list.update(n, Alive) }

// NotifyUpdate implements memberlist.EventDelegate.
func (c changes) NotifyUpdate(n *memberlist.Node) { c.list.update(n, Alive) }

// NotifyLeave implements memberlist.EventDelegate.
func (c changes) NotifyLeave(n *memberlist.Node) { c.list.update(n, Dead) }
