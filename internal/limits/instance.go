// Package limits holds the sizes, counts and durations that bound the program. They follow from what the machine and the
// protocol allow, and are computed once, at the start. It also limits the open connections of a listener.
package limits

import (
	"math"
	"time"
)

// Bounds of the log of each program.
const (
	LogLines = 4096            // lines queued for the log's reader; further ones are dropped and counted
	LogEnd   = 2 * time.Second // how long a program that exits waits for them to be read
)

// Bounds are the limits of one backend process.
type Bounds struct {
	// The process.
	Processors           int   // that run Go code at the same time (GOMAXPROCS)
	Heap                 int64 // bytes, the soft memory limit of the garbage collector
	HeapGrowth           int   // percent between two collections, while below that limit (GOGC)
	Connections          int   // of edge nodes, open at the same time
	ConnectionsHighWater int   // with more than these open, those idle for longest are asked to leave (GOAWAY)
	ClosingConnections   int   // allowed beyond Connections while they are being closed
	Invocations          int   // read and not answered, or answered and still running on the executor

	// Messages, in bytes unless said otherwise.
	Streams              int   // invocations open on one connection, a count
	FrameSize            int   // a frame after its length, by the protocol
	InvocationFrameSize  int   // the payload of a frame that can be an invocation; what is longer is skipped unread
	BodySize             int   // an invocation's body
	ResultSize           int   // a run's result
	LineSize             int   // a line from the executor, without the result that follows it
	UnsentPerConnection  int   // answers that the peer of one connection leaves unread
	UnsentTotal          int64 // the same for all connections together
	IdempotencyCacheSize int   // the cache of operations with an idempotency key, results included
	IdempotencyKeySize   int   // an idempotency key
	OutputBuffer         int   // the largest output buffer that is reused for the next answers
	PartialFrameBuffer   int   // the largest buffer of a partial frame that is reused
	ReadBuffer           int   // what is read from one connection at a time
	ReceiveBuffer        int   // what the kernel may hold of a connection's input (SO_RCVBUF)
	InvalidFrames        int   // on one connection before it is closed, a count; unknown operations count too

	// The executor.
	SampleTimeout   time.Duration // how long a tick waits for its sample
	SampleMaxAge    time.Duration // older gauges are not used
	StallThreshold  time.Duration // without a tick for so long, the process was stalled and its gauges are out of date
	DialTimeout     time.Duration // one attempt to connect
	RedialMin       time.Duration // between the first two attempts; it doubles
	RedialMax       time.Duration // up to this
	ExecutorSilence time.Duration // a connection that brings nothing for so long, though asked, is replaced by a new one
	ExecutorAbsence time.Duration // without a connection for so long, health checks are answered with bad

	// The endpoint registry.
	ReportInterval     time.Duration // between two load reports, in the mean
	DeregisterRetry    time.Duration // between the first two attempts to deregister; it doubles
	ReportRetryMin     time.Duration // the shortest pause after a report that failed
	ReportRetryRefused time.Duration // the longest pause while connections to the registry are refused
	ReportRetryInitial time.Duration // the longest pause after the first failure; it grows with each
	ReportRetryMax     time.Duration // up to this
	RetryAfterMax      time.Duration // the longest Retry-After of the registry that is honoured
	RegistrationTTL    time.Duration // the registry drops an entry so long after its last report
	ReportTimeout      time.Duration // one report; nearly as long as an entry lasts, so that a slow registry still counts it
	ReportsInFlight    int           // at the same time: two that are never answered leave room for the one that renews the entry

	// Edge nodes.
	BindTimeout        time.Duration // how long an address is tried that is still in use by a process just killed
	BindRetry          time.Duration // between two attempts to bind it
	WriteTimeout       time.Duration // a peer that reads nothing for so long is cut off
	SweepInterval      time.Duration // between two looks at all connections, and at the idempotency cache
	NewConnectionAge   time.Duration // a younger connection without a frame may still send one
	IdleAge            time.Duration // a connection unused for longer is idle and may be evicted
	LingerTimeout      time.Duration // a connection closed for writing waits so long for its peer's end
	AcceptQueueTimeout time.Duration // how long the accept queue is emptied before the listener closes
	FrameTimeout       time.Duration // for the first valid frame of a connection, and for the rest of any frame; below 3 s

	// Start, reload and shutdown of the process.
	ReplayRetryAfter    time.Duration // Retry-After for a repeat whose first attempt did not run
	LogInterval         time.Duration // between two log lines on the state, or on protocol errors of one kind
	NoticeDelay         time.Duration // a shutdown notice may arrive so late; that much of the grace period is not used
	ReloadRetry         time.Duration // between two attempts to read a file that may be half written
	ReloadAttempts      int           // attempts to read it
	RejectBeforeStop    time.Duration // invocations are rejected at least so long before the stop, so that late ones are still answered
	ExitMargin          time.Duration // the process exits so long before the stop, if all is answered
	ExitMarginUnwritten time.Duration // or so long before it, with answers still to be written
}

// What the capacity for connections and invocations is computed from.
const (
	bytesPerMB          = 1 << 20
	reservedDescriptors = 24       // for the executor, the registry, the pollers and the standard streams
	closingConnections  = 12       // being closed at the same time
	bytesPerInvocation  = 16 << 10 // goroutine, body, result, and the answer until it is written
	bytesPerConnection  = 20 << 10 // netpoll's buffer and ours, with a partial frame
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
		ClosingConnections: closingConnections,
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

// For computes the bounds of a process from its share of cores, its memory in MB and its limit of file descriptors.
func For(cores, memoryMB float64, sockets int) Bounds {
	b := fixed()
	// One more than the cores: the poller of edge connections blocks inside a system call, and goroutines that
	// become runnable meanwhile should not wait until the runtime has retaken its processor.
	b.Processors = int(math.Ceil(cores)) + 1
	b.Heap = int64(memoryMB * bytesPerMB * 5 / 8)
	b.InvocationFrameSize = b.BodySize + 8<<10
	b.UnsentPerConnection = 2 * b.Streams * (b.ResultSize + 256)
	b.UnsentTotal = int64(memoryMB * bytesPerMB / 8)
	b.IdempotencyCacheSize = int(memoryMB * bytesPerMB / 16)
	b.OutputBuffer = 16 << 10
	// A quarter of the memory is for connections, and as much for invocations; the rest is for the garbage collector.
	capacity := memoryMB * bytesPerMB / 4
	b.Connections = max(1, min(sockets-reservedDescriptors-closingConnections, int(capacity/bytesPerConnection)))
	b.ConnectionsHighWater = b.Connections * 3 / 4
	b.Invocations = max(1, min(b.Connections*b.Streams, int(capacity/bytesPerInvocation)))
	return b
}
