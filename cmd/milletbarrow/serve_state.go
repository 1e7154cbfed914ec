package main

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"time"

	"milletbarrow/internal/backend/admin"
)

const bytesPerKB = 1 << 10

// logStates logs the counters at intervals, until ctx ends.
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

// logState logs the counters as the named event.
func (b *backendProcess) logState(event string) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	connections, openStreams := b.server.Counts()
	counts, inFlight := b.dispatcher.Counts()
	slog.Info(
		event,
		"connections",
		connections,
		"open_streams",
		openStreams,
		"in_flight",
		inFlight,
		"goroutines",
		runtime.NumGoroutine(),
		"heap_kb",
		memory.HeapAlloc/bytesPerKB,
		"system_kb",
		memory.Sys/bytesPerKB,
		"collections",
		memory.NumGC,
		"arrived",
		counts.Arrived,
		"expired",
		counts.Expired,
		"started",
		counts.Started,
		"throttled",
		counts.Throttled,
		"errored",
		counts.Errored,
		"abandoned",
		counts.Abandoned,
		"ticks",
		counts.Ticks,
		"ticks_without_sample",
		counts.Unsampled,
		"panics",
		counts.Panics,
		"replayed",
		counts.Replayed,
		"cache_full",
		counts.CacheFull,
	)
	if differences, on := b.dispatcher.ShadowCounts(); on {
		slog.Info("shadow_differences", "counts", differences.String())
	}
}

// state returns the state of this backend for the admin socket.
func (b *backendProcess) state() admin.State {
	connections, openStreams := b.server.Counts()
	counts, inFlight := b.dispatcher.Counts()
	state := admin.State{
		Version:   admin.Version,
		Name:      b.config.Name,
		PID:       os.Getpid(),
		Build:     version(),
		Config:    b.config.Hash,
		StartedAt: b.startedAt,
		Ready: b.dispatcher.Healthy() &&
			b.executor.Available(),
		Connections:    connections,
		ServerInFlight: openStreams,
		InFlight:       inFlight,
		Arrived:        counts.Arrived,
		Started:        counts.Started,
		Throttled:      counts.Throttled,
		Errored:        counts.Errored,
		Abandoned:      counts.Abandoned,
		Panics:         counts.Panics,
	}
	if status, on := b.dispatcher.DegradationStatus(); on {
		state.DegradationPolicy = status.Policy
		state.Level = status.Level
		state.Depth = status.Depth
		state.Shed = status.Shed
		state.Changes = status.Changes
		state.SignalsAt = int64(status.At)
		state.Signals = status.Signals.String()
	}
	if differences, on := b.dispatcher.ShadowCounts(); on {
		state.ShadowCounts = differences.Map()
	}
	state.Quotas = b.dispatcher.QuotaStatus()
	b.shutdown.describe(&state)
	return state
}
