// Package admission decides for one backend: admission control, scheduling, load shedding and graceful shutdown.
//
// Backend.Decide takes an event and its time, and appends the actions that follow. The package does no I/O, reads no
// clock and shares nothing between instances: the same events give the same actions.
//
// The interface is in config.go, event.go and action.go. The decisions are in:
//
//   - arrival.go, threshold.go, reject.go: admission by priority against the smoothed run queue, and Retry-After;
//   - tenants.go: a lower priority for requests beyond their tenant's quota;
//   - schedule.go, finish.go: which waiting request runs next, and what is learnt from each run;
//   - deadlines.go: rejection of requests that can't meet their latency objective or deadline;
//   - calls.go: calls to the dependency, bounded by a quota and a retry budget;
//   - health.go, advertise.go, idle_connections.go: health checks, load balancing weight, idle connections.
//
// They rest on the measurements of reading.go, run_cost.go, call_stats.go, arrival_stats.go and unmarked_retry.go.
//
// Invariants, whatever events come, each with the tests that hold it:
//
//   - Every request gets exactly one final answer, by its deadline: TestEveryRequestIsAnsweredInTime.
//   - No request has an effect twice: TestNoEffectTwice, TestOnlyKeyedOperationsAreReused,
//     TestOnlyWaitingWorkIsLaunched.
//   - No request that arrives after the drain grace runs, and all are answered before the stop: TestDrain,
//     TestShortDrainNotice, TestArrivalsJustBeforeTheStop.
//   - Memory, concurrent runs and calls to the dependency are bounded: TestMemory, TestMaxRunsWarmAndCold,
//     TestCallsToDependency, TestWaitingCallsAreBounded.
package admission
