package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"reflect"
	"strings"
	"time"

	"milletbarrow/internal/config"
)

// reload reads the configuration again at each SIGHUP, until ctx ends, and applies the parts that can change:
// addresses, the shadow configuration and the degradation policy. An invalid file changes nothing; it is read again up
// to ReloadAttempts times, as it may be partially written.
func (b *backendProcess) reload(ctx context.Context, hangup <-chan os.Signal) {
	var retry <-chan time.Time
	retries := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			retries = 0
		case <-retry:
			retries++
		}
		retry = nil
		updated, err := config.Read(b.files.config)
		if err == nil {
			b.apply(updated)
			continue
		}
		if retries == 0 {
			slog.Warn("reload", "used", false, "error", err.Error())
		}
		if retries < b.bounds.ReloadAttempts {
			retry = time.After(b.bounds.ReloadRetry)
		}
	}
}

// apply applies those parts of a configuration that can change without a restart.
func (b *backendProcess) apply(updated *config.Backend) {
	slog.Info("reload", "used", true, "executor", updated.Executor, "registry", updated.Registry,
		"restart_required", strings.Join(b.config.ImmutableChanges(updated), " "))
	b.executor.SetAddress(updated.Executor)
	b.reporter.SetAddress(updated.Registry)
	if !reflect.DeepEqual(b.shadow, updated.Shadow) { // an unchanged shadow configuration keeps its counts
		b.shadow = updated.Shadow
		b.dispatcher.SetShadow(b.shadow)
		slog.Info("shadow", "on", b.shadow != nil)
	}
	if b.files.degradation == "" {
		return
	}
	policy, err := b.degradationPolicy()
	if err == nil {
		err = b.dispatcher.SetDegradationPolicy(policy)
	}
	slog.Info("reload_degradation", "used", err == nil, "error", fmt.Sprint(err))
}
