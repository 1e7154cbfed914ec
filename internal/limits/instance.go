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
	Processors           int   // that run Go code at once
	Heap                 int64 // bytes, the soft limit
	HeapGrowth           int   // percent between two collections, while under that limit
	Connections          int   // of edge nodes, open at once
	ConnectionsHighWater int   // beyond so many, those that rest longest are asked away
	ClosingConnections   int   // besides those, on their way out
	Invocations          int   // read and not answered, or answered and still on the farm

	// Messages, in bytes unless said otherwise.
	Streams              int   // invocations open on one connection
	FrameSize            int   // a frame after its length, by the protocol
	InvocationFrameSize  int   // a frame that can be an invocation; what is longer is skipped unread
	BodySize             int   // an invocation's body
	ResultSize           int   // a run's result
	LineSize             int   // a line from the farm, without what follows it
	UnsentPerConnection  int   // answers that one connection's peer leaves unread
	UnsentTotal          int64 // the same for all connections together
	IdempotencyCacheSize int   // what is remembered of tokened operations, results included
	IdempotencyKeySize   int   // by which a repeat is known
	OutputBuffer         int   // a buffer that is kept for the next answers
	PartialFrameBuffer   int   // the same for the beginnings of frames
	ReadBuffer           int   // what one connection's turn brings at the most
	ReceiveBuffer        int   // what the system may hold of a connection's input
	InvalidFrames        int   // frames on one connection that cannot be used, or name work that the farm does not know

	// The farm.
	SampleTimeout   time.Duration // a tick waits so long for its sample
	SampleMaxAge    time.Duration // gauges older than this are not told
	StallThreshold  time.Duration // without a tick for so long, the process was held up and its gauges are of before
	DialTimeout     time.Duration // one try to reach it
	RedialMin       time.Duration // between the first two tries; it doubles
	RedialMax       time.Duration // up to this
	ExecutorSilence time.Duration // a link that brings nothing for so long, though asked, is tried anew beside it
	ExecutorAbsence time.Duration // without a link for so long, checks are answered with bad

	// The roster.
	ReportInterval     time.Duration // between two reports, in the mean
	DeregisterRetry    time.Duration // between two words that we leave, where one may overtake the other
	ReportRetryMin     time.Duration // of a pause after a report that was not taken
	ReportRetryRefused time.Duration // the longest while nobody listens there
	ReportRetryInitial time.Duration // the longest after the first that was not taken
	ReportRetryMax     time.Duration // and after many
	RetryAfterMax      time.Duration // the longest that the roster may ask to stay away
	RegistrationTTL    time.Duration // an entry is gone so long after its last report
	ReportTimeout      time.Duration // one report; as long as an entry lasts, so that a slow roster still counts it
	ReportsInFlight    int           // on their way at once: two that are never answered leave room for the one that keeps the entry

	// Edge nodes.
	BindTimeout        time.Duration // an address that is still taken, by one just killed, is tried for so long,
	BindRetry          time.Duration // so often
	WriteTimeout       time.Duration // a peer that takes nothing for so long is gone
	SweepInterval      time.Duration // between two looks at all connections, and at all that is remembered
	NewConnectionAge   time.Duration // a connection this young may yet say something
	IdleAge            time.Duration // one that has carried nothing for so long rests
	LingerTimeout      time.Duration // closed for writing, it waits so long for its peer's end
	AcceptQueueTimeout time.Duration // what stands in the accept queue is taken in for so long before the listener closes
	FrameTimeout       time.Duration // it has said something sound by then, and ended any frame that it began; under 3 s

	// The life of the process.
	ReplayRetryAfter    time.Duration // a repeat that waited for what never ran may come again after so long
	LogInterval         time.Duration // between two log lines on the state, or on odd input of one kind
	NoticeDelay         time.Duration // a notice may be heard so late; that much of the grace is not used
	ReloadRetry         time.Duration // a file that cannot be used may be half written: it is read again after so long
	ReloadAttempts      int           // so many times
	RejectBeforeStop    time.Duration // callers are turned away so long before the stop at the least: what crosses that is answered
	ExitMargin          time.Duration // the process ends so long before the stop, if all is answered
	ExitMarginUnwritten time.Duration // or, with answers still to be written, so long before it
}

// What a process needs beside its connections and invocations.
const (
	bytesPerMB         = 1 << 20
	spareDescriptors   = 24       // of the executor, the registry, the pollers and the standard streams
	leavingConnections = 12       // connections that are being closed at once
	bytesPerInvocation = 16 << 10 // goroutine, body, result, and the answer until it is written
	bytesPerConnection = 20 << 10 // netpoll's buffer and ours, with a frame begun
)

// fixed are the bounds that do not depend on the size of a process.
func fixed() Bounds {
	return Bounds{
		HeapGrowth: 100,

		Streams:            32,
		FrameSize:          262_144,
		BodySize:           2 << 10,
		ResultSize:         4 << 10,
		LineSize:           1 << 10,
		PartialFrameBuffer: 1 << 10,
		ReadBuffer:         4 << 10,
		ReceiveBuffer:      64 << 10,
		InvalidFrames:      32,
		ClosingConnections: leavingConnections,
		IdempotencyKeySize: 64,

		SampleTimeout:       20 * time.Millisecond,
		SampleMaxAge:        300 * time.Millisecond,
		StallThreshold:      60 * time.Millisecond,
		RedialMin:           20 * time.Millisecond,
		RedialMax:           100 * time.Millisecond,
		ExecutorAbsence:     time.Second,
		ExecutorSilence:     2 * time.Second,
		DialTimeout:         time.Second,
		ReportInterval:      700 * time.Millisecond,
		DeregisterRetry:     150 * time.Millisecond,
		ReportRetryMin:      20 * time.Millisecond,
		ReportRetryRefused:  1400 * time.Millisecond,
		ReportRetryInitial:  2800 * time.Millisecond,
		ReportRetryMax:      4200 * time.Millisecond,
		RetryAfterMax:       30 * time.Second,
		RegistrationTTL:     3 * time.Second,
		ReportTimeout:       2800 * time.Millisecond,
		ReportsInFlight:     3,
		BindTimeout:         5 * time.Second,
		BindRetry:           20 * time.Millisecond,
		WriteTimeout:        10 * time.Second,
		SweepInterval:       250 * time.Millisecond,
		NewConnectionAge:    50 * time.Millisecond,
		IdleAge:             time.Second,
		FrameTimeout:        2 * time.Second,
		LingerTimeout:       500 * time.Millisecond,
		AcceptQueueTimeout:  100 * time.Millisecond,
		RejectBeforeStop:    200 * time.Millisecond,
		ReloadRetry:         50 * time.Millisecond,
		ReloadAttempts:      40,
		ReplayRetryAfter:    50 * time.Millisecond,
		LogInterval:         10 * time.Second,
		NoticeDelay:         100 * time.Millisecond,
		ExitMargin:          30 * time.Millisecond,
		ExitMarginUnwritten: 5 * time.Millisecond,
	}
}

// For works the bounds out from a process's share of cores, its memory in MB and its descriptors.
func For(cores, memoryMB float64, sockets int) Bounds {
	b := fixed()
	// One more than the cores: the poller of edge connections sleeps inside a system call, and what
	// becomes due meanwhile should not wait until the runtime has taken its processor back.
	b.Processors = int(math.Ceil(cores)) + 1
	b.Heap = int64(memoryMB * bytesPerMB * 5 / 8)
	b.InvocationFrameSize = b.BodySize + 8<<10
	b.UnsentPerConnection = 2 * b.Streams * (b.ResultSize + 256)
	b.UnsentTotal = int64(memoryMB * bytesPerMB / 8)
	b.IdempotencyCacheSize = int(memoryMB * bytesPerMB / 16)
	b.OutputBuffer = 16 << 10
	room := memoryMB * bytesPerMB / 4 // for connections, and as much for invocations; the rest is for collections
	b.Connections = max(1, min(sockets-spareDescriptors-leavingConnections, int(room/bytesPerConnection)))
	b.ConnectionsHighWater = b.Connections * 3 / 4
	b.Invocations = max(1, min(b.Connections*b.Streams, int(room/bytesPerInvocation)))
	return b
}
