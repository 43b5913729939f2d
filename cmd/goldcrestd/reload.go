package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/settings"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

// settingsEvery is how often the settings file is looked at, since it may
// change without a signal.
const settingsEvery = 2 * time.Second

// watchSettings reads the settings again on SIGHUP and when the file changed.
// The log level takes effect at once; everything else describes the instance
// and its addresses and holds from the next start on.
func watchSettings(ctx context.Context, file string, have settings.Settings, logger *slog.Logger, level *slog.LevelVar) error {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	tick := time.NewTicker(settingsEvery)
	defer tick.Stop()
	seen := modified(file)
	for {
		signaled := false
		select {
		case <-c:
			signaled = true
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		if at := modified(file); signaled || !at.Equal(seen) {
			seen = at
			have = reload(file, have, logger, level)
		}
	}
}

// modified returns the time of the file's last change, zero when there is no
// file.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload returns the settings in force after a change of the file.
func reload(file string, have settings.Settings, logger *slog.Logger, level *slog.LevelVar) settings.Settings {
	next, err := settings.Load(file)
	if err != nil {
		logger.Warn("settings_refused", "error", err)
		return have
	}
	sections := changedSections(have, next)
	level.Set(telemetry.Level(next.Logging))
	onlyLogging := len(sections) == 0 || len(sections) == 1 && sections[0] == "Logging"
	logger.Info("settings_reloaded", "sections", sections, "applied", onlyLogging)
	return next
}

// changedSections names the sections in which two settings differ.
func changedSections(a, b settings.Settings) []string {
	var names []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, x.Type().Field(i).Name)
		}
	}
	return names
}
