// Package admission makes the decisions of one backend: admission control, scheduling, load shedding and graceful
// shutdown.
//
// Backend.Decide takes an event and its time, and appends the resulting actions. The package does no I/O, reads no
// clock and shares no state between instances: the same events give the same actions.
//
// The interface is in config.go, event.go and action.go; the decisions are in:
//
//   - arrival.go, threshold.go, reject.go: admission by priority against the smoothed run queue, and Retry-After;
//   - tenants.go: a lower priority for requests beyond their tenant's quota;
//   - schedule.go, finish.go: which waiting request runs next, and the cost estimate from each run;
//   - deadlines.go: rejection of requests that cannot meet their latency objective or deadline;
//   - calls.go: calls to the dependency, limited by a quota and a retry budget;
//   - health.go, advertise.go, idle_connections.go: health checks, load balancing weight, idle connections.
//
// They use the measurements of reading.go, run_cost.go, call_stats.go, arrival_stats.go and unmarked_retry.go.
//
// Invariants for every sequence of events, each with the tests that check it:
//
//   - Every request gets exactly one final answer, by its deadline: TestEveryRequestIsAnsweredByItsDeadline.
//   - No request has an effect twice: TestRepeatsHaveNoSecondEffect, TestOnlyKeyedOperationsReuseResults,
//     TestLaunchedIsIgnoredUnlessRequestWaits.
//   - No request that arrives after the drain grace runs, and all requests are answered before the stop:
//     TestDrainAnswersAllRequestsBeforeStop, TestShortDrainNoticeAnswersAllRequestsAtOnce,
//     TestArrivalsJustBeforeStopAreNotRun.
//   - Memory, concurrent runs and calls to the dependency are limited: TestMemoryLimitsRunningAndWaitingRequests,
//     TestMaxRunsIsLowerWhileCold, TestCallsAreLimitedByQuotaAndRetryBudget, TestWaitingCallsAreLimitedPerCore.
package admission
