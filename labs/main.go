// Command lab runs the fake services and the load generators. It is for tests and
// measurements only.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"cactustide/fakes"
)

type command struct {
	parser *flaggy.Subcommand
	run    func() error
}

func main() {
	parser := flaggy.NewParser("lab")
	parser.Description = "fake services and load generators for cactustide"
	parser.ShowVersionWithVersionFlag = false
	commands := []command{
		newKV(), newEngine(), newPlain(), newPorts(), newPolicy(), newHeavy(), newCrashes(),
		newParts(), newRates(), newStack(), newScores(), newSoak(), newSlopes(), newCapacity(), newOverhead(),
	}
	for _, c := range commands {
		parser.AttachSubcommand(c.parser, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(2)
	}
	for _, c := range commands {
		if !c.parser.Used {
			continue
		}
		if err := c.run(); err != nil {
			fmt.Fprintln(os.Stderr, "lab:", err)
			os.Exit(1)
		}
		return
	}
	parser.ShowHelp()
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	return s
}

// waitForSignal blocks until SIGTERM or SIGINT.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

func newKV() command {
	parser := newSubcommand("kv", "fake of the platform's key-value service and list of hosts")
	listen := "127.0.0.1:8500"
	parser.String(&listen, "l", "listen", "address")
	return command{parser: parser, run: func() error {
		kv, err := fakes.StartKV(listen, uint64(time.Now().UnixNano()))
		if err != nil {
			return err
		}
		waitForSignal()
		kv.Close()
		return nil
	}}
}

func newEngine() command {
	parser := newSubcommand("engine", "fake model engine")
	o := fakes.EngineOptions{Address: "127.0.0.1:9000", Model: "birch", Slots: 8, Prefill: 20 * time.Millisecond, TimePerToken: 5 * time.Millisecond, Downtime: time.Second}
	parser.String(&o.Address, "l", "listen", "address")
	parser.String(&o.Model, "m", "model", "model name")
	parser.Int(&o.Slots, "n", "slots", "requests run at once")
	parser.Duration(&o.Prefill, "f", "prefill", "time before the first token")
	parser.Duration(&o.TimePerToken, "p", "pace", "time for each further token")
	return command{parser: parser, run: func() error {
		e, err := fakes.StartEngine(o)
		if err != nil {
			return err
		}
		waitForSignal()
		e.Close()
		return nil
	}}
}

func newPlain() command {
	parser := newSubcommand("plain", "fake plain service")
	listen := "127.0.0.1:9100"
	work := 5 * time.Millisecond
	parser.String(&listen, "l", "listen", "address")
	parser.Duration(&work, "w", "work", "time for each call")
	return command{parser: parser, run: func() error {
		p, err := fakes.StartPlain(listen, work)
		if err != nil {
			return err
		}
		waitForSignal()
		p.Close()
		return nil
	}}
}
