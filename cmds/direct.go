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

// settingsInterval is the time between two reads of the settings file, which may
// change without a signal.
const settingsInterval = 5 * time.Second

// newDirect returns the subcommand of an entry that forwards directly to
// upstreams, without agents. The platform writes its settings file.
func newDirect() command {
	parser := newSubcommand("direct", "runs an entry that forwards directly to upstreams")
	return command{parser: parser, run: runDirect}
}

func runDirect(s streams) int {
	// The handlers are installed first, because the default action of these
	// signals ends the process without a log line.
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
	client := platform.NewStoreClient(settings.Store, m.CountPlatformCall)
	e := direct.New(settings, platform.NewHeaderCodec(), platform.NewItemCodec(), client, log, m)
	e.SetDropCounter(logWriter.Dropped)
	if err := e.Start(); err != nil {
		return s.fail(err, ExitFailed)
	}
	settings, sig := watchSettings(log, settings, hup, stop, func(next *setup.DirectSettings) { e.Reload(time.Now(), next) })
	log.With("grace", settings.StopTimeout.Milliseconds()).Infof("stopping after %v", sig)
	e.Drain(settings.StopTimeout)
	e.Close()
	log.Infof("stopped")
	return ExitOK
}

// watchSettings reloads changed settings until a stop signal arrives, and once more then, as the
// stop follows them. It returns the settings in force and that signal. An invalid file leaves the
// settings unchanged.
func watchSettings(
	log *meter.Logger, current *setup.DirectSettings, hup, stop <-chan os.Signal, reload func(*setup.DirectSettings),
) (*setup.DirectSettings, os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		var sig os.Signal
		select {
		case sig = <-stop:
		case <-hup:
			log.Infof("reloading settings after SIGHUP")
		case <-ticker.C:
		}
		next, err := platform.LoadSettings()
		if err != nil {
			log.Warnf("failed to reload settings; keeping the previous ones: %v", err)
		} else if !reflect.DeepEqual(current, next) {
			reload(next)
			current = next
		}
		if sig != nil {
			return current, sig
		}
	}
}
