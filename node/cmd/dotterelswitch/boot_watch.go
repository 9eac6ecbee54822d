package main

import (
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// bootCheck is how often the boot file is looked at for a change that no
// signal announced.
const bootCheck = 2 * time.Second

// bootWatch follows the boot file. What a running process cannot change, such
// as its addresses, takes effect at the next start; a file that is wrong is
// reported and ignored.
type bootWatch struct {
	path string
	log  zerolog.Logger
	// changed is the file's time when it was last looked at; it belongs to run.
	changed time.Time
}

func (w *bootWatch) run() {
	for range time.Tick(bootCheck) {
		info, err := os.Stat(w.path)
		if err != nil || info.ModTime().Equal(w.changed) {
			continue
		}
		first := w.changed.IsZero()
		w.changed = info.ModTime()
		if !first {
			w.reload("file changed")
		}
	}
}

func (w *bootWatch) reload(reason string) {
	if _, err := platform.ReadBoot(w.path); err != nil {
		eventlog.SettingsRejected.Error(w.log).Err(err).Str("reason", reason).Send()
		return
	}
	eventlog.SettingsReloaded.Info(w.log).Str("reason", reason).Send()
}
