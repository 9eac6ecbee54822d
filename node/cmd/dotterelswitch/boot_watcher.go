package main

import (
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// bootCheckInterval is how often the boot file is checked for a change without a
// SIGHUP.
const bootCheckInterval = 2 * time.Second

// bootWatcher validates the boot file whenever it changes and logs the result. The
// settings in it take effect at the next start.
type bootWatcher struct {
	path string
	log  zerolog.Logger
	// modTime is the file's modification time at the last check; only run uses it.
	modTime time.Time
}

func (w *bootWatcher) run() {
	for range time.Tick(bootCheckInterval) {
		info, err := os.Stat(w.path)
		if err != nil || info.ModTime().Equal(w.modTime) {
			continue
		}
		first := w.modTime.IsZero()
		w.modTime = info.ModTime()
		if !first {
			w.reload("file changed")
		}
	}
}

func (w *bootWatcher) reload(reason string) {
	if _, err := platform.ReadBoot(w.path); err != nil {
		eventlog.SettingsRejected.Error(w.log).Err(err).Str("reason", reason).Send()
		return
	}
	eventlog.SettingsReloaded.Info(w.log).Str("reason", reason).Send()
}
