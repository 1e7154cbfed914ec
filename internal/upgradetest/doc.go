// Package upgradetest runs the program of an earlier release beside the one of this tree: agents and supervisors of one
// release take over what those of the other run. It has tests only. They need the earlier program: MILLETBARROW_OLD
// names its binary; without that it is built from the history of the repository, and where that lacks the commit the
// tests are skipped and say so.
package upgradetest
