// Package supervisor is the process beside each instance that outlives the agent. It starts the instance, passes the
// shutdown notice on, enforces the shutdown window, and records how the instance ended. Monitor decides; it does no
// I/O and reads no clock.
package supervisor
