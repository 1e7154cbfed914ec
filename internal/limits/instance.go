// Package limits holds the sizes, counts and durations that bound the program. They follow from the capacity of the
// machine and from the protocol, and are computed once, at the start. The package also limits the open connections of a
// listener.
package limits

import (
	"math"
	"time"
)

// Bounds of each program's log.
const (
	LogLines        = 4096            // lines queued for the log's reader; further ones are dropped and counted
	LogFlushTimeout = 2 * time.Second // for writing the queued lines when the program exits
)

// Bounds are the limits of one backend process.
type Bounds struct {
	// The process.

	Processors           int   // processors that run Go code at the same time (GOMAXPROCS)
	Heap                 int64 // bytes; the soft memory limit of the garbage collector
	HeapGrowth           int   // percent between two collections while the heap is below Heap (GOGC)
	Connections          int   // open connections of edge nodes
	ConnectionsHighWater int   // above it, the connections idle for longest get a GOAWAY
	ClosingConnections   int   // connections that may exceed Connections while they are being closed
	Invocations          int   // invocations read and not answered, or answered and still running on the executor

	// Messages.

	Streams              int   // open invocations of one connection
	FrameSize            int   // bytes of a frame after its length, by the protocol
	InvocationFrameSize  int   // bytes of the payload of an invocation; a longer frame is skipped unread
	BodySize             int   // bytes of an invocation's body
	ResultSize           int   // bytes of a run's result
	LineSize             int   // bytes of a line from the executor, without the result that follows it
	UnsentPerConnection  int   // bytes of answers that the peer of one connection leaves unread
	UnsentTotal          int64 // bytes of answers that all peers together leave unread
	IdempotencyCacheSize int   // bytes of the cache for idempotency keys, with the results
	IdempotencyKeySize   int   // bytes of an idempotency key
	RecentIDs            int   // IDs of non-idempotent invocations that ran, kept to recognize them
	OutputBuffer         int   // bytes of the largest output buffer that is reused
	PartialFrameBuffer   int   // bytes of the largest buffer of a partial frame that is reused
	ReadBuffer           int   // bytes read from one connection at a time
	ReceiveBuffer        int   // bytes of a connection's input in the kernel (SO_RCVBUF)
	InvalidFrames        int   // invalid frames and unknown operations of one connection before it is closed

	// The executor.

	SampleTimeout   time.Duration // for the sample of a tick
	SampleMaxAge    time.Duration // older gauges are not used
	StallThreshold  time.Duration // after this time without a tick the process was stalled and its gauges are stale
	DialTimeout     time.Duration // of one attempt to connect
	RedialMin       time.Duration // between the first two attempts to connect; it doubles
	RedialMax       time.Duration // the longest time between two attempts
	ExecutorSilence time.Duration // a connection that has no input for this time, despite requests, is replaced
	ExecutorAbsence time.Duration // after this time without a connection health checks fail

	// The endpoint registry.

	ReportInterval     time.Duration // mean time between two load reports
	DeregisterRetry    time.Duration // between the first two attempts to deregister; it doubles
	ReportRetryMin     time.Duration // the shortest pause after a failed report
	ReportRetryRefused time.Duration // the longest pause while connections to the registry are refused
	ReportRetryInitial time.Duration // the longest pause after the first failure; it grows with each
	ReportRetryMax     time.Duration // upper bound of the longest pause
	RetryAfterMax      time.Duration // the longest Retry-After of the registry that is observed
	RegistrationTTL    time.Duration // from an entry's last report until the registry drops it
	ReportTimeout      time.Duration // of one report; close to RegistrationTTL, as a late report still renews the entry
	ReportsInFlight    int           // reports without a response; two may be stuck while a third one renews the entry

	// Edge nodes.

	BindTimeout        time.Duration // for attempts to bind an address that a killed process still holds
	BindRetry          time.Duration // between two attempts to bind
	WriteTimeout       time.Duration // a peer that reads nothing for this time is disconnected
	SweepInterval      time.Duration // between two checks of all connections and of the idempotency cache
	NewConnectionAge   time.Duration // a younger connection that has sent no frame may still send one
	IdleAge            time.Duration // a connection unused for longer is idle and may be evicted
	LingerTimeout      time.Duration // from closing a connection for writing to closing it if the peer does not
	AcceptQueueTimeout time.Duration // for emptying the accept queue before the listener closes
	FrameTimeout       time.Duration // for a connection's first frame, and the rest of any frame; below 3 s

	// Start, reload and shutdown of the process.

	ReplayRetryAfter    time.Duration // Retry-After for a repeat whose first attempt did not run
	LogInterval         time.Duration // between two log lines on the state, or on protocol errors of one kind
	NoticeDelay         time.Duration // by which a shutdown notice may be late; subtracted from the grace period
	ReloadRetry         time.Duration // between two attempts to read a file that may be partly written
	ReloadAttempts      int           // attempts to read a file on reload
	RejectBeforeStop    time.Duration // from the first rejection to the stop, so that late requests are answered
	ExitMargin          time.Duration // from the exit of a process that has answered all to the stop
	ExitMarginUnwritten time.Duration // from the exit of a process with unwritten answers to the stop
}

// Terms in the computation of For.
const (
	bytesPerMB = 1 << 20

	heapEighths        = 5 // of the memory, for Bounds.Heap
	eighths            = 8
	unsentDivisor      = 8  // of the memory, for Bounds.UnsentTotal
	idempotencyDivisor = 16 // of the memory, for Bounds.IdempotencyCacheSize
	recentIDsDivisor   = 16 // of the memory, for Bounds.RecentIDs
	// A quarter of the memory is for connections and a quarter for invocations; the rest is for the garbage collector.
	capacityDivisor   = 4
	highWaterQuarters = 3 // of Bounds.Connections, for Bounds.ConnectionsHighWater
	quarters          = 4

	reservedDescriptors     = 24       // for the executor, the registry, the pollers and the standard streams
	closingConnections      = 12       // connections being closed at the same time
	bytesPerRecentID        = 96       // an ID and its slot in a map that may have just grown
	bytesPerInvocation      = 16 << 10 // goroutine, body, result, and the answer until it is written
	bytesPerConnection      = 20 << 10 // buffers of netpoll and of this program, with a partial frame
	invocationFrameOverhead = 8 << 10  // bytes of an invocation's frame beside its body
	answerOverhead          = 256      // bytes of an answer beside its result
	answersPerStream        = 2        // unread answers on a connection for each of its streams
)

// Bounds that do not depend on the size of a process. They are described at the fields of Bounds with the same names,
// which have min or max as a suffix.
const (
	heapGrowth = 100

	streams            = 32
	frameSize          = 262_144
	bodySize           = 2 << 10
	resultSize         = 4 << 10
	lineSize           = 1 << 10
	outputBuffer       = 16 << 10
	partialFrameBuffer = 1 << 10
	readBuffer         = 4 << 10
	receiveBuffer      = 64 << 10
	invalidFrames      = 32
	idempotencyKeySize = 64

	sampleTimeout   = 20 * time.Millisecond
	sampleMaxAge    = 300 * time.Millisecond
	stallThreshold  = 60 * time.Millisecond
	minRedial       = 20 * time.Millisecond
	maxRedial       = 100 * time.Millisecond
	executorAbsence = time.Second
	executorSilence = 2 * time.Second
	dialTimeout     = time.Second

	reportInterval     = 700 * time.Millisecond
	deregisterRetry    = 150 * time.Millisecond
	minReportRetry     = 20 * time.Millisecond
	reportRetryRefused = 1400 * time.Millisecond
	reportRetryInitial = 2800 * time.Millisecond
	maxReportRetry     = 4200 * time.Millisecond
	retryAfterMax      = 30 * time.Second
	registrationTTL    = 3 * time.Second
	reportTimeout      = 2800 * time.Millisecond
	reportsInFlight    = 3

	bindTimeout        = 5 * time.Second
	bindRetry          = 20 * time.Millisecond
	writeTimeout       = 10 * time.Second
	sweepInterval      = 250 * time.Millisecond
	newConnectionAge   = 50 * time.Millisecond
	idleAge            = time.Second
	frameTimeout       = 2 * time.Second
	lingerTimeout      = 500 * time.Millisecond
	acceptQueueTimeout = 100 * time.Millisecond

	rejectBeforeStop    = 200 * time.Millisecond
	reloadRetry         = 50 * time.Millisecond
	reloadAttempts      = 40
	replayRetryAfter    = 50 * time.Millisecond
	logInterval         = 10 * time.Second
	noticeDelay         = 100 * time.Millisecond
	exitMargin          = 30 * time.Millisecond
	exitMarginUnwritten = 5 * time.Millisecond
)

// fixed returns the bounds that do not depend on the size of a process.
func fixed() Bounds {
	return Bounds{
		HeapGrowth: heapGrowth,

		Streams:            streams,
		FrameSize:          frameSize,
		BodySize:           bodySize,
		ResultSize:         resultSize,
		LineSize:           lineSize,
		OutputBuffer:       outputBuffer,
		PartialFrameBuffer: partialFrameBuffer,
		ReadBuffer:         readBuffer,
		ReceiveBuffer:      receiveBuffer,
		InvalidFrames:      invalidFrames,
		ClosingConnections: closingConnections,
		IdempotencyKeySize: idempotencyKeySize,

		SampleTimeout:       sampleTimeout,
		SampleMaxAge:        sampleMaxAge,
		StallThreshold:      stallThreshold,
		RedialMin:           minRedial,
		RedialMax:           maxRedial,
		ExecutorAbsence:     executorAbsence,
		ExecutorSilence:     executorSilence,
		DialTimeout:         dialTimeout,
		ReportInterval:      reportInterval,
		DeregisterRetry:     deregisterRetry,
		ReportRetryMin:      minReportRetry,
		ReportRetryRefused:  reportRetryRefused,
		ReportRetryInitial:  reportRetryInitial,
		ReportRetryMax:      maxReportRetry,
		RetryAfterMax:       retryAfterMax,
		RegistrationTTL:     registrationTTL,
		ReportTimeout:       reportTimeout,
		ReportsInFlight:     reportsInFlight,
		BindTimeout:         bindTimeout,
		BindRetry:           bindRetry,
		WriteTimeout:        writeTimeout,
		SweepInterval:       sweepInterval,
		NewConnectionAge:    newConnectionAge,
		IdleAge:             idleAge,
		FrameTimeout:        frameTimeout,
		LingerTimeout:       lingerTimeout,
		AcceptQueueTimeout:  acceptQueueTimeout,
		RejectBeforeStop:    rejectBeforeStop,
		ReloadRetry:         reloadRetry,
		ReloadAttempts:      reloadAttempts,
		ReplayRetryAfter:    replayRetryAfter,
		LogInterval:         logInterval,
		NoticeDelay:         noticeDelay,
		ExitMargin:          exitMargin,
		ExitMarginUnwritten: exitMarginUnwritten,
	}
}

// For computes the bounds of a process from its share of cores, its memory in MB and its limit of file descriptors.
func For(cores, memoryMB float64, descriptors int) Bounds {
	b := fixed()
	// One more than the cores: the poller of edge connections blocks in a system call, and goroutines that become
	// runnable meanwhile should not wait until the runtime has retaken its processor.
	b.Processors = int(math.Ceil(cores)) + 1
	memory := memoryMB * bytesPerMB
	b.Heap = int64(memory * heapEighths / eighths)
	b.InvocationFrameSize = b.BodySize + invocationFrameOverhead
	b.UnsentPerConnection = answersPerStream * b.Streams * (b.ResultSize + answerOverhead)
	b.UnsentTotal = int64(memory / unsentDivisor)
	b.IdempotencyCacheSize = int(memory / idempotencyDivisor)
	b.RecentIDs = int(memory / recentIDsDivisor / bytesPerRecentID)
	capacity := memory / capacityDivisor
	freeDescriptors := descriptors - reservedDescriptors - closingConnections
	b.Connections = max(1, min(freeDescriptors, int(capacity/bytesPerConnection)))
	b.ConnectionsHighWater = b.Connections * highWaterQuarters / quarters
	b.Invocations = max(1, min(b.Connections*b.Streams, int(capacity/bytesPerInvocation)))
	return b
}
