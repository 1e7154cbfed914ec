package main

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"time"

	"milletbarrow/internal/backend/admin"
)

// logStates logs the counts at intervals, until ctx ends.
func (b *backendProcess) logStates(ctx context.Context) {
	ticker := time.NewTicker(b.bounds.LogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b.logState("state")
	}
}

// logState logs the counts under an event's name.
func (b *backendProcess) logState(event string) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	connections, carried := b.server.Counts()
	n, inFlight := b.dispatcher.Counts()
	slog.Info(event, "connections", connections, "open_streams", carried, "in_flight", inFlight,
		"goroutines", runtime.NumGoroutine(), "heap_kb", m.HeapAlloc>>10, "system_kb", m.Sys>>10,
		"collections", m.NumGC, "arrived", n.Arrived, "expired", n.Expired, "started", n.Started, "throttled", n.Throttled,
		"errored", n.Errored, "abandoned", n.Abandoned, "ticks", n.Ticks, "ticks_without_sample", n.Unsampled, "panics", n.Panics,
		"replayed", n.Replayed, "cache_full", n.CacheFull)
	if c, on := b.dispatcher.ShadowCounts(); on {
		slog.Info("shadow_differences", "counts", c.String())
	}
}

// state is what the admin socket serves.
func (b *backendProcess) state() admin.State {
	connections, carried := b.server.Counts()
	n, inFlight := b.dispatcher.Counts()
	s := admin.State{
		Version: admin.Version, Name: b.config.Name, PID: os.Getpid(), Build: version(), Config: b.config.Hash, StartedAt: b.startedAt,
		Ready: b.dispatcher.Healthy() && b.executor.Available(), Connections: connections, ServerInFlight: carried, InFlight: inFlight, Arrived: n.Arrived,
		Started: n.Started, Throttled: n.Throttled, Errored: n.Errored, Abandoned: n.Abandoned, Panics: n.Panics,
	}
	if r, ok := b.dispatcher.DegradationStatus(); ok {
		s.DegradationPolicy, s.Level, s.Depth, s.Shed, s.Changes = r.Policy, r.Level, r.Depth, r.Shed, r.Changes
		s.SignalsAt, s.Signals = int64(r.At), r.Signals.String()
	}
	if c, on := b.dispatcher.ShadowCounts(); on {
		s.ShadowCounts = c.Map()
	}
	s.Quotas = b.dispatcher.QuotaStatus()
	d := b.shutdown
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		s.Ready, s.Draining, s.GraceEnds, s.StopBy = false, true, d.graceEndsClock, d.stopClock
	}
	return s
}
