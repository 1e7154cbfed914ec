// Package limits holds every size, count and time that bounds the program. The figures follow from what the
// machine and the protocol allow; they are worked out once, at the start, and handed down.
package limits

import (
	"math"
	"time"
)

// The log of any program of this repository.
const (
	LogLines = 4096            // that wait for whoever reads the log; further ones are dropped and counted
	LogEnd   = 2 * time.Second // a program that ends waits so long for them to be read
)

// Bounds are the limits of one process.
type Bounds struct {
	// The process.
	Processors  int   // that run Go code at once
	Heap        int64 // bytes, the soft limit
	HeapGrowth  int   // percent between two collections, while under that limit
	Connections int   // of edge nodes, open at once
	Roomy       int   // beyond so many, those that rest longest are asked away
	Leaving     int   // besides those, on their way out
	Invocations int   // read and not answered, or answered and still on the farm

	// Messages, in bytes unless said otherwise.
	Streams   int   // invocations open on one connection
	Frame     int   // a frame after its length, by the protocol
	Content   int   // a frame that can be an invocation; what is longer is skipped unread
	Body      int   // an invocation's body
	Result    int   // a run's result
	Line      int   // a line from the farm, without what follows it
	Unsent    int   // answers that one connection's peer leaves unread
	UnsentAll int64 // the same for all connections together
	Kept      int   // what is remembered of tokened operations, results included
	Token     int   // by which a repeat is known
	Spare     int   // a buffer that is kept for the next answers
	Part      int   // the same for the beginnings of frames
	Input     int   // what one connection's turn brings at the most
	Received  int   // what the system may hold of a connection's input
	Unfit     int   // frames on one connection that cannot be used, or name work that the farm does not know

	// The farm.
	SampleWait  time.Duration // a tick waits so long for its sample
	SampleOld   time.Duration // gauges older than this are not told
	HeldUp      time.Duration // without a tick for so long, the process was held up and its gauges are of before
	Dial        time.Duration // one try to reach it
	RedialLeast time.Duration // between the first two tries; it doubles
	RedialMost  time.Duration // up to this
	LinkSilent  time.Duration // a link that brings nothing for so long, though asked, is tried anew beside it
	LinkMissed  time.Duration // without a link for so long, checks are answered with bad

	// The roster.
	Report       time.Duration // between two reports, in the mean
	ReportAgain  time.Duration // between two words that we leave, where one may overtake the other
	ReportLeast  time.Duration // of a pause after a report that was not taken
	ReportClosed time.Duration // the longest while nobody listens there
	ReportFirst  time.Duration // the longest after the first that was not taken
	ReportMost   time.Duration // and after many
	ReportAdvice time.Duration // the longest that the roster may ask to stay away
	Lapse        time.Duration // an entry is gone so long after its last report
	Call         time.Duration // one report; as long as an entry lasts, so that a slow roster still counts it
	Reports      int           // on their way at once: two that are never answered leave room for the one that keeps the entry

	// Edge nodes.
	Bind   time.Duration // an address that is still taken, by one just killed, is tried for so long,
	Rebind time.Duration // so often
	Unread time.Duration // a peer that takes nothing for so long is gone
	Sweep  time.Duration // between two looks at all connections, and at all that is remembered
	Fresh  time.Duration // a connection this young may yet say something
	Rests  time.Duration // one that has carried nothing for so long rests
	Linger time.Duration // closed for writing, it waits so long for its peer's end
	Queued time.Duration // what stands in the accept queue is taken in for so long before the listener closes
	Hello  time.Duration // it has said something sound by then, and ended any frame that it began; under 3 s

	// The life of the process.
	ComeBack   time.Duration // a repeat that waited for what never ran may come again after so long
	Quiet      time.Duration // between two log lines on the state, or on odd input of one kind
	NoticeLate time.Duration // a notice may be heard so late; that much of the grace is not used
	Reread     time.Duration // a file that cannot be used may be half written: it is read again after so long
	Rereads    int           // so many times
	Parting    time.Duration // callers are turned away so long before the stop at the least: what crosses that is answered
	LastWords  time.Duration // the process ends so long before the stop, if all is answered
	LastChance time.Duration // or, with answers still to be written, so long before it
}

// What a process needs beside its connections and invocations.
const (
	mb                 = 1 << 20
	spareDescriptors   = 24       // of the executor, the registry, the pollers and the standard streams
	leavingConnections = 12       // connections that are being closed at once
	bytesPerInvocation = 16 << 10 // goroutine, body, result, and the answer until it is written
	bytesPerConnection = 20 << 10 // netpoll's buffer and ours, with a frame begun
)

// fixed are the bounds that do not depend on the size of a process.
func fixed() Bounds {
	return Bounds{
		HeapGrowth: 100,

		Streams:  32,
		Frame:    262_144,
		Body:     2 << 10,
		Result:   4 << 10,
		Line:     1 << 10,
		Part:     1 << 10,
		Input:    4 << 10,
		Received: 64 << 10,
		Unfit:    32,
		Leaving:  leavingConnections,
		Token:    64,

		SampleWait:   20 * time.Millisecond,
		SampleOld:    300 * time.Millisecond,
		HeldUp:       60 * time.Millisecond,
		RedialLeast:  20 * time.Millisecond,
		RedialMost:   100 * time.Millisecond,
		LinkMissed:   time.Second,
		LinkSilent:   2 * time.Second,
		Dial:         time.Second,
		Report:       700 * time.Millisecond,
		ReportAgain:  150 * time.Millisecond,
		ReportLeast:  20 * time.Millisecond,
		ReportClosed: 1400 * time.Millisecond,
		ReportFirst:  2800 * time.Millisecond,
		ReportMost:   4200 * time.Millisecond,
		ReportAdvice: 30 * time.Second,
		Lapse:        3 * time.Second,
		Call:         2800 * time.Millisecond,
		Reports:      3,
		Bind:         5 * time.Second,
		Rebind:       20 * time.Millisecond,
		Unread:       10 * time.Second,
		Sweep:        250 * time.Millisecond,
		Fresh:        50 * time.Millisecond,
		Rests:        time.Second,
		Hello:        2 * time.Second,
		Linger:       500 * time.Millisecond,
		Queued:       100 * time.Millisecond,
		Parting:      200 * time.Millisecond,
		Reread:       50 * time.Millisecond,
		Rereads:      40,
		ComeBack:     50 * time.Millisecond,
		Quiet:        10 * time.Second,
		NoticeLate:   100 * time.Millisecond,
		LastWords:    30 * time.Millisecond,
		LastChance:   5 * time.Millisecond,
	}
}

// For works the bounds out from a process's share of cores, its memory in MB and its descriptors.
func For(cores, memoryMB float64, sockets int) Bounds {
	b := fixed()
	// One more than the cores: the poller of edge connections sleeps inside a system call, and what
	// becomes due meanwhile should not wait until the runtime has taken its processor back.
	b.Processors = int(math.Ceil(cores)) + 1
	b.Heap = int64(memoryMB * mb * 5 / 8)
	b.Content = b.Body + 8<<10
	b.Unsent = 2 * b.Streams * (b.Result + 256)
	b.UnsentAll = int64(memoryMB * mb / 8)
	b.Kept = int(memoryMB * mb / 16)
	b.Spare = 16 << 10
	room := memoryMB * mb / 4 // for connections, and as much for invocations; the rest is for collections
	b.Connections = max(1, min(sockets-spareDescriptors-leavingConnections, int(room/bytesPerConnection)))
	b.Roomy = b.Connections * 3 / 4
	b.Invocations = max(1, min(b.Connections*b.Streams, int(room/bytesPerInvocation)))
	return b
}
