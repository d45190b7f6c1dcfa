package cmds

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"cactustide/direct"
	"cactustide/meter"
	"cactustide/platform"
	"cactustide/setup"
)

// settingsInterval is the time between two looks at the settings file, which
// may change without a signal.
const settingsInterval = 5 * time.Second

// newDirect returns the subcommand of an entry that forwards straight to
// upstreams, on a platform that writes the settings itself.
func newDirect() command {
	parser := newSubcommand("direct", "runs an entry that forwards straight to upstreams")
	return command{parser: parser, run: runDirect}
}

func runDirect(s streams) int {
	// First of all: the default actions would end the process without a word.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	stop := notifyStop()
	settings, err := platform.LoadSettings()
	if err != nil {
		return s.fail(err, ExitInvalid)
	}
	logWriter := meter.NewAsyncWriter(s.out)
	defer logWriter.Close()
	log := meter.NewLogger(logWriter, "info", "json", "direct").With("process", settings.Name)
	m := meter.New(settings.Name)
	defer m.Close()
	client := platform.NewStore(settings.Store, m.CountPlatformCall)
	e := direct.New(settings, platform.NewWire(), platform.NewItems(), client, log, m)
	e.SetDropCounter(logWriter.Dropped)
	if err := e.Start(); err != nil {
		return s.fail(err, ExitFailed)
	}
	sig := watchSettings(e, log, settings, hup, stop)
	log.Infof("stopping after %v", sig)
	e.Drain(settings.Stop)
	e.Close()
	log.Infof("stopped")
	return ExitOK
}

// watchSettings reloads changed settings until a signal to stop. A file that
// cannot be used leaves the settings in force.
func watchSettings(e *direct.Entry, log *meter.Logger, current *setup.Direct, hup, stop <-chan os.Signal) os.Signal {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case sig := <-stop:
			return sig
		case <-hup:
			log.Infof("reading the settings again after SIGHUP")
		case <-ticker.C:
		}
		next, err := platform.LoadSettings()
		if err != nil {
			log.Warnf("settings not reloaded; the last good ones stay: %v", err)
			continue
		}
		if !reflect.DeepEqual(current, next) {
			e.Reload(time.Now(), next)
			current = next
		}
	}
}
