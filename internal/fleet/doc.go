// Package fleet is a pure state machine of instances, commands, rolling updates and cold starts on one host. It does no
// I/O and reads no clock: Machine.Decide takes an event and the time, and returns the actions to carry out. Commands
// set the desired state of an instance, observations its observed state, and reconciliation issues the actions that
// bring the observed state to the desired one. Machine.Changes returns the state that has to survive a restart of the
// agent; the agent stores it before it carries out any action, and passes it to Machine.Restore after a restart.
//
// The package also reads the fleet's file (ReadSpec) and decides the order of hosts in a rolling update of the whole
// fleet (RolloutCoordinator).
//
// # Invariants of the machine
//
// Each line names the tests that check it; TestInvariantsHoldUnderInterleavedFaults checks most of them under faults in
// any order.
//
//   - An incarnation is launched once, and never while another one of the same instance runs:
//     TestInvariantsHoldUnderInterleavedFaults, TestPendingLaunchIsNotDoubled.
//   - An incarnation is notified by one notice only, and has a deadline from then on:
//     TestInvariantsHoldUnderInterleavedFaults, TestRestoreRenewsPendingNotice.
//   - A pending action is sent again under its own ID: TestResendWaitsForItsBackoff.
//   - Observations, failures and answers for another incarnation, action or request change nothing:
//     TestInvariantsHoldUnderInterleavedFaults, TestFailureOfAnotherActionIsIgnored, TestReleaseOfAnotherUnitIsIgnored.
//   - Only an exit that was observed or recorded ends an incarnation: TestUnrecordedExitIsIgnoredWhileLaunchIsPending,
//     TestSilenceNeverEndsLiveInstance.
//   - A command ends with one result for each instance, which never changes: TestInvariantsHoldUnderInterleavedFaults,
//     TestResultIsRecordedOnce.
//   - A rejected command changes nothing: TestRejectedCommandChangesNothing.
//   - A rolling update has at most MaxInProgress instances in progress and leaves the minimum of each group ready:
//     TestInvariantsHoldUnderInterleavedFaults, TestUnobservableInstanceIsNotRestarted,
//     TestSparesSettleBeforeTheUpdateRolls.
//   - A unit stays held until its instance is back in service: TestUnitStaysHeldUntilBackInService.
//   - Over all hosts a cold start has no more instances starting at once than its quota has units:
//     TestColdStartKeepsItsQuotaUnderFaults.
//   - Launches that no command requested are bounded within a sliding window: TestLaunchBudget.
package fleet
