// Package supervisor implements the supervisor process of an instance, which keeps running while the agent is down or
// restarts. It starts the instance, forwards the shutdown notice to it, enforces the shutdown window, and records how
// the instance ended. Monitor makes the decisions; it does no I/O and reads no clock.
package supervisor
