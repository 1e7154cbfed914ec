// Package failpoint enables deliberate faults and crashes of the program, which fault injection has to detect. They
// exist only in a build with the tag "failpoint". Without the tag, Enabled always returns false, and the compiler
// removes the code that depends on it.
//
// Only this package reads the environment variables, so that packages without I/O can have failpoints.
package failpoint

// Environment variables, read only by a build with the tag.
const (
	// FaultVariable holds the name of the enabled fault, one of the faults below.
	FaultVariable = "MILLETBARROW_FAILPOINT"
	// CrashDirVariable holds the directory of armed crash points. A file with the name of a crash point arms it.
	CrashDirVariable = "MILLETBARROW_CRASH_POINTS"
)

// Faults. docs/quota-design.md lists how fault injection detects each of them.
const (
	NoClockMargin      = "margin" // a lease expires without the margin for clock drift
	EarlyExpiry        = "early"  // a lease expires after half of its term
	ForgetGrants       = "forget" // a new leader treats the grants of earlier leaders as expired
	FloorsCountedTwice = "floors" // floors are not subtracted from the divided quota
	IgnoreEpoch        = "epoch"  // a lease response is accepted for any request and epoch
	AnswerEarly        = "answer" // a lease is granted before it is replicated
	IgnoreStartPermit  = "ignore" // an instance starts without a permit
)

// Crash points of the replicated store.
const (
	AfterStored     = "stored"     // log entries are durable on this replica
	AfterReplicated = "replicated" // a command is committed and not yet answered
)
