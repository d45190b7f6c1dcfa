package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"cactustide/direct"
	"cactustide/meter"
	"cactustide/platform"
)

// newDirect returns the subcommand of an entry that forwards straight to
// upstreams, on a platform that writes the settings itself.
func newDirect() command {
	parser := newSubcommand("direct", "runs an entry that forwards straight to upstreams")
	return command{parser: parser, run: runDirect}
}

func runDirect(s streams) int {
	settings, err := platform.LoadSettings()
	if err != nil {
		return s.fail(err, ExitInvalid)
	}
	queue := meter.NewQueue(s.out)
	defer queue.Close()
	log := meter.NewLog(queue, "info", "json", "direct").With("process", settings.Name)
	m := meter.New(settings.Name)
	defer m.Close()
	client := platform.NewStore(settings.Store, m.CountCall)
	e := direct.New(settings, platform.NewWire(), platform.NewItems(), client, log, m)
	// The default action of SIGHUP would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			log.Infof("settings may have changed")
		}
	}()
	if err := e.Start(); err != nil {
		return s.fail(err, ExitFailed)
	}
	log.Infof("stopping after %v", <-newSignals())
	e.Drain(settings.Stop)
	e.Close()
	log.Infof("stopped")
	return ExitOK
}
