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
// addresses, the shadow configuration and the degradation policy. A file that can't be used changes nothing; it is
// read again a few times, as it may be half written.
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
		later, err := config.Read(b.files.config)
		if err == nil {
			b.apply(later)
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

// apply puts those parts of a configuration in force that can change without a restart.
func (b *backendProcess) apply(later *config.Backend) {
	slog.Info("reload", "used", true, "executor", later.Executor, "registry", later.Registry,
		"restart_required", strings.Join(b.config.ImmutableChanges(later), " "))
	b.executor.SetAddress(later.Executor)
	b.reporter.SetAddress(later.Registry)
	if !reflect.DeepEqual(b.shadow, later.Shadow) { // else its counts go on
		b.shadow = later.Shadow
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
