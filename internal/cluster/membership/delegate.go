package membership

import (
	"encoding/binary"

	"github.com/hashicorp/memberlist"
)

// incarnationBytes is the length of the metadata: the incarnation as a big-endian integer.
const incarnationBytes = 8

// metadataDelegate implements memberlist.Delegate. It announces this agent's incarnation as the node's metadata and
// exchanges no other state.
type metadataDelegate struct {
	incarnation uint64
}

// NodeMeta implements memberlist.Delegate.
func (d metadataDelegate) NodeMeta(int) []byte {
	return binary.BigEndian.AppendUint64(nil, d.incarnation)
}

// NotifyMsg implements memberlist.Delegate.
func (metadataDelegate) NotifyMsg([]byte) {}

// GetBroadcasts implements memberlist.Delegate.
func (metadataDelegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (metadataDelegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (metadataDelegate) MergeRemoteState([]byte, bool) {}

// eventDelegate implements memberlist.EventDelegate. It applies the library's events to a List.
type eventDelegate struct {
	list *List
}

// NotifyJoin implements memberlist.EventDelegate.
func (d eventDelegate) NotifyJoin(n *memberlist.Node) { d.list.update(n, Alive) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d eventDelegate) NotifyUpdate(n *memberlist.Node) { d.list.update(n, Alive) }

// NotifyLeave implements memberlist.EventDelegate.
func (d eventDelegate) NotifyLeave(n *memberlist.Node) { d.list.update(n, Dead) }
