// Package upgradetest tests upgrades: it runs the program of an earlier release together with that of this tree, and
// checks that agents and supervisors of one release take over from those of the other. The package has tests only. The
// binary of the earlier release is that named by MILLETBARROW_OLD, or is built from the repository's history. If the
// history lacks the commit, the tests are skipped.
package upgradetest
