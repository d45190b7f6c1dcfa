package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"cactustide/fakes"
)

// newOverhead returns the command that measures the latency added by an entry and an
// agent.
func newOverhead() command {
	parser := newSubcommand("overhead", "measures the added time to the first token and between tokens, and unary requests each second")
	binary := "bin/cactustide"
	streams := 600
	unary := 60000
	parser.String(&binary, "b", "binary", "path of the cactustide program")
	parser.Int(&streams, "n", "streams", "streams through each path")
	parser.Int(&unary, "u", "unary", "unary requests")
	return command{parser: parser, run: func() error {
		tb, err := newTestbed(testbedOptions{binary: binary, entries: 1, engines: 4, slots: 128, queue: 4000, engine: fakes.EngineOptions{Prefill: 5 * time.Millisecond, TimePerToken: 20 * time.Millisecond}})
		if err != nil {
			return err
		}
		defer tb.close()
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "path\tfirst token p50 ms\tp99 ms\tbetween tokens p50 ms\tp99 ms")
		if err := measurePath(w, "direct", newCaller(tb.engines[0].Address()), streams); err != nil {
			return err
		}
		if err := measurePath(w, "through", newCaller(tb.entries[0].listen), streams); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
		return measureUnary(binary, unary)
	}}
}

// warmupStreams is the number of streams that open the connections before the measured
// ones.
const warmupStreams = 128

// measurePath opens streams at a constant rate, and measures each latency from the
// scheduled start, so that a slow response does not hide the delay of later ones
// (coordinated omission).
func measurePath(w *tabwriter.Writer, name string, c *caller, streams int) error {
	const interval = 10 * time.Millisecond
	warmUp := func(i int) error {
		_, err := c.chat("question", fmt.Sprintf("warm %d tokens=30 ", i), true)
		return err
	}
	if err := parallel(warmupStreams, warmupStreams, warmUp); err != nil {
		return err
	}
	first, eventGaps := newHistogram(), newHistogram()
	start := time.Now()
	err := parallel(streams, streams, func(i int) error {
		scheduled := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(scheduled))
		delay := time.Since(scheduled)
		t, err := c.chat("question", fmt.Sprintf("%d tokens=30 ", i), true)
		first.add(t.timeToFirst + delay)
		for _, g := range t.eventGaps {
			eventGaps.add(g)
		}
		return err
	})
	fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\n", name, first.percentile(50), first.percentile(99), eventGaps.percentile(50), eventGaps.percentile(99))
	return err
}

// saveProfiles writes processor profiles of an entry and an agent under load to files
// whose prefix is LAB_PROFILE.
func saveProfiles(tb *testbed) {
	for _, p := range []*process{tb.entries[0], tb.agents[0]} {
		req := fasthttp.AcquireRequest()
		resp := fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + p.admin + "/debug/pprof/profile?seconds=4")
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+operatorToken)
		if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err == nil {
			_ = os.WriteFile(os.Getenv("LAB_PROFILE")+"-"+p.name, resp.Body(), 0o644)
		}
	}
}

func measureUnary(binary string, n int) error {
	tb, err := newTestbed(testbedOptions{binary: binary, entries: 1, engines: 4, slots: 64, queue: 4000})
	if err != nil {
		return err
	}
	defer tb.close()
	c := newCaller(tb.entries[0].listen)
	if os.Getenv("LAB_PROFILE") != "" {
		go saveProfiles(tb)
	}
	before := tb.entries[0].cpu()
	start := time.Now()
	err = parallel(n, 128, func(i int) error {
		return c.unary(fmt.Sprintf("%d tokens=1 ", i))
	})
	elapsed := time.Since(start)
	fmt.Printf("unary: %.0f requests/s through one entry, %.0f us of its processor time each\n", float64(n)/elapsed.Seconds(), (tb.entries[0].cpu()-before)/float64(n)*1e6)
	return err
}
