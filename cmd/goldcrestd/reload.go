package main

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/settings"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

// settingsPollInterval is the time between checks whether the settings file has
// changed.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings at every signal and when the file has changed.
// The log level takes effect immediately. All other settings describe the
// instance and its addresses and take effect at the next start.
func watchSettings(ctx context.Context, signals <-chan os.Signal, file string, current settings.Settings, logger *slog.Logger, level *slog.LevelVar) error {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	lastModTime := fileModTime(file)
	for {
		requested := false
		select {
		case <-signals:
			requested = true
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		if modTime := fileModTime(file); requested || !modTime.Equal(lastModTime) {
			lastModTime = modTime
			current = reload(file, current, logger, level)
		}
	}
}

// fileModTime returns the file's modification time, or the zero time if there is
// none.
func fileModTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload returns the settings of the file and sets the log level. If the file
// cannot be read or is invalid, it returns the current settings.
func reload(file string, current settings.Settings, logger *slog.Logger, level *slog.LevelVar) settings.Settings {
	next, err := settings.Load(file)
	if err != nil {
		logger.Warn("settings_refused", "error", err)
		return current
	}
	sections := changedSections(current, next)
	level.Set(telemetry.Level(next.Logging))
	logger.Info("settings_reloaded", "sections", sections, "applied", onlyLevelChanged(current, next))
	return next
}

// onlyLevelChanged reports whether all changes have taken effect.
func onlyLevelChanged(current, next settings.Settings) bool {
	current.Logging.Level = next.Logging.Level
	return len(changedSections(current, next)) == 0
}

// changedSections returns the names of the sections in which a and b differ.
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
