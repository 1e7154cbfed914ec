// Package failpoint switches on faults of the program itself, which fault injection must find. A program that is built
// without the tag "failpoint" has none: Enabled is then a constant, and the compiler drops what depends on it.
//
// The environment is read here alone, so that packages that decide without I/O can have failpoints too.
package failpoint

// Environment variables of a program that is built with the tag.
const (
	FaultVariable    = "MILLETBARROW_FAILPOINT"    // the fault that is switched on, one of the names below
	CrashDirVariable = "MILLETBARROW_CRASH_POINTS" // the directory in which files name the points to crash at
)

// Faults. See docs/quota-design.md for what finds each of them.
const (
	NoClockMargin      = "margin" // a lease is over without its margin for clocks that run apart
	EarlyExpiry        = "early"  // a lease is over after half of its time
	ForgetGrants       = "forget" // a new leader takes the grants of earlier ones for expired
	FloorsCountedTwice = "floors" // floors are not set aside from what is divided
	IgnoreEpoch        = "epoch"  // a lease response counts whichever request and epoch it belongs to
	AnswerEarly        = "answer" // a lease is granted before it is replicated
	IgnoreStartPermit  = "ignore" // an instance starts without a permit
)

// Crash points of the replicated store.
const (
	AfterStored     = "stored"     // log entries are durable on this replica
	AfterReplicated = "replicated" // a command is committed and not yet answered
)
