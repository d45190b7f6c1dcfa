package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"cactustide/agent"
	"cactustide/entry"
	"cactustide/meter"
	"cactustide/setup"
)

// daemon holds the lifecycle functions of an entry or an agent.
type daemon struct {
	start func() error
	drain func()
	close func()
}

// newEntry returns the subcommand of the entry daemon.
func newEntry() command {
	parser := newSubcommand("entry", "runs an entry, the process that callers connect to")
	file := "entry.yaml"
	parser.String(&file, "s", "settings", "settings file")
	return command{parser: parser, run: func(s streams) int {
		return runDaemon(s, file, setup.RoleEntry, func(settings *setup.Settings, log *meter.Logger, m *meter.Metrics) daemon {
			e := entry.New(settings, log, m)
			return daemon{start: e.Start, drain: func() { e.Drain(settings.StopTimeout) }, close: e.Close}
		})
	}}
}

// newAgent returns the subcommand of the agent daemon.
func newAgent() command {
	parser := newSubcommand("agent", "runs an agent, the process alongside one upstream")
	file := "agent.yaml"
	parser.String(&file, "s", "settings", "settings file")
	return command{parser: parser, run: func(s streams) int {
		return runDaemon(s, file, setup.RoleAgent, func(settings *setup.Settings, log *meter.Logger, m *meter.Metrics) daemon {
			a := agent.New(settings, log, m)
			return daemon{start: a.Start, drain: func() { a.Drain(settings.StopTimeout) }, close: a.Close}
		})
	}}
}

// runDaemon runs a daemon until SIGTERM or SIGINT, then lets requests in progress
// finish before it stops. A second signal ends that wait.
func runDaemon(s streams, file, role string, newDaemon func(*setup.Settings, *meter.Logger, *meter.Metrics) daemon) int {
	settings, code := loadSettings(s, file, role)
	if code != ExitOK {
		return code
	}
	log := meter.NewLogger(s.err, settings.LogLevel, settings.LogFormat, role).With("process", settings.Name)
	m := meter.New(settings.Name)
	defer m.Close()
	d := newDaemon(settings, log, m)
	if err := d.start(); err != nil {
		return s.fail(err, ExitFailed)
	}
	signals := notifyStop()
	log.Infof("stopping after %v", <-signals)
	drained := startDrain(d)
	select {
	case <-drained:
	case <-signals:
		log.Warnf("stopping without waiting for requests in progress")
		return ExitFailed
	}
	d.close()
	log.Infof("stopped")
	return ExitOK
}

// notifyStop returns a channel that receives SIGTERM and SIGINT.
func notifyStop() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// startDrain drains in the background and closes the channel when that is done.
func startDrain(d daemon) <-chan struct{} {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		d.drain()
	}()
	return drained
}
