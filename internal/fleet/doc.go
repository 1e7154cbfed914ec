// Package fleet is a pure state machine of instances, commands, rolling updates and cold starts on one host. It does no
// I/O and reads no clock: events and the time go into Machine.Decide, and actions to carry out come out. Commands set
// the desired state of an instance, observations its observed state, and reconciliation issues the actions that bring
// the observed state to the desired one. Machine.Changes returns what a restart of the agent must not lose; the agent
// stores it before it carries any action out, and returns it by Machine.Restore.
//
// The package also reads the fleet's file (ReadSpec) and decides the order of hosts in a rolling update of the whole
// fleet (RolloutCoordinator).
//
// # Invariants of the machine
//
// Each line names the tests that hold it; TestInterleavings checks most of them under faults in any order.
//
//   - An incarnation is launched once, and never beside another one of the same instance: TestInterleavings,
//     TestPendingLaunchIsNotDoubled.
//   - An incarnation is notified by one notice only, and has a deadline from then on: TestInterleavings,
//     TestRestoreRenewsPendingNotice.
//   - A pending action is sent again under its own ID: TestResendWaitsForItsBackoff.
//   - Observations, failures and answers that are about another incarnation, action or request change nothing:
//     TestInterleavings, TestFailureOfAnotherActionIsIgnored, TestReleaseOfAnotherUnitIsIgnored.
//   - Only an end that was observed or recorded ends an incarnation: TestUnrecordedObservation,
//     TestSilenceNeverEndsLiveInstance.
//   - A command ends with one result for each instance, which never changes: TestInterleavings,
//     TestResultIsRecordedOnce.
//   - A rejected command changes nothing: TestRejectedCommandChangesNothing.
//   - A rolling update has at most MaxInProgress instances in progress and leaves the minimum of each group ready:
//     TestInterleavings, TestUnseenInstanceIsNotReleased, TestSparesSettleBeforeTheUpdateRolls.
//   - A unit stays held until its instance is back in service: TestUnitStaysHeldUntilBackInService.
//   - Over all hosts a cold start has no more instances starting at once than its quota has units: TestColdStart.
//   - Launches that no command requested are bounded within a time: TestLaunchBudget.
package fleet
