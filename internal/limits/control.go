package limits

import "time"

// Control bounds the sockets by which instances are managed, and their clients: the agent, the supervisors, the admin
// socket and the command-line tool. No invocation passes through them.
type Control struct {
	Connections      int           // open at the same time on one socket; a further one waits to be accepted
	MessageSize      int           // bytes of one message without its headers
	CallTimeout      time.Duration // of one call, from its connection to its response
	IdleTimeout      time.Duration // a connection without a call for this time is closed
	Watchers         int           // of one agent at the same time; a further one is rejected
	WatcherBacklog   int           // progress lines queued for one watcher; with more it is disconnected
	EndedCommands    int           // stored by an agent; the oldest are deleted first
	OpenCommands     int           // of one agent at the same time; a further one is rejected
	Instances        int           // of one agent
	HistoryEntries   int           // stored by an agent
	FanOut           int           // agents that the command-line tool calls at the same time
	Attempts         int           // of one call to one agent
	RetryBackoff     time.Duration // before the second attempt; it doubles, with jitter
	RetryBackoffMax  time.Duration // the longest pause before an attempt
	LogFileSize      int64         // bytes of one instance's log file; the current and the previous file exist
	LogCheckInterval time.Duration // between two checks of a log file's size
	PollInterval     time.Duration // between two polls of an instance that is expected to change
	IdlePollInterval time.Duration // between two polls of any other instance
	ParallelStarts   int           // supervisors that are started at the same time
	TickInterval     time.Duration // between two checks of an agent for deadlines that have passed
}

// Bounds of the control sockets. They are described at the fields of Control with the same names.
const (
	controlConnections = 64
	messageSize        = 1 << 20
	callTimeout        = 2 * time.Second
	idleTimeout        = time.Minute
	watchers           = 32
	watcherBacklog     = 1024
	endedCommands      = 1000
	openCommands       = 64
	instancesPerAgent  = 1000
	historyEntries     = 20_000
	fanOut             = 16
	attempts           = 4
	retryBackoff       = 50 * time.Millisecond
	retryBackoffMax    = time.Second
	logFileSize        = 4 << 20
	logCheckInterval   = time.Second
	pollInterval       = 25 * time.Millisecond
	idlePollInterval   = 500 * time.Millisecond
	parallelStarts     = 4
	tickInterval       = 20 * time.Millisecond
)

// ForControl returns the bounds for a host of up to some hundred instances.
func ForControl() Control {
	return Control{
		Connections:      controlConnections,
		MessageSize:      messageSize,
		CallTimeout:      callTimeout,
		IdleTimeout:      idleTimeout,
		Watchers:         watchers,
		WatcherBacklog:   watcherBacklog,
		EndedCommands:    endedCommands,
		OpenCommands:     openCommands,
		Instances:        instancesPerAgent,
		HistoryEntries:   historyEntries,
		FanOut:           fanOut,
		Attempts:         attempts,
		RetryBackoff:     retryBackoff,
		RetryBackoffMax:  retryBackoffMax,
		LogFileSize:      logFileSize,
		LogCheckInterval: logCheckInterval,
		PollInterval:     pollInterval,
		IdlePollInterval: idlePollInterval,
		ParallelStarts:   parallelStarts,
		TickInterval:     tickInterval,
	}
}

// Load bounds the load generator.
type Load struct {
	InFlight int // invocations sent and not answered; further ones are counted, but not sent
}

// loadInFlight is Load.InFlight for one machine.
const loadInFlight = 100_000

// ForLoad returns the bounds for one machine.
func ForLoad() Load { return Load{InFlight: loadInFlight} }
