package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"cactustide/fakes"
)

// newOverhead measures what the path through an entry and an agent adds.
func newOverhead() command {
	parser := newSubcommand("overhead", "measures the added time to the first token and between tokens, and unary requests each second")
	binary := "bin/cactustide"
	streams := 600
	unary := 60000
	parser.String(&binary, "b", "binary", "the product")
	parser.Int(&streams, "n", "streams", "streams through each path")
	parser.Int(&unary, "u", "unary", "unary requests")
	return command{parser: parser, run: func() error {
		f, err := newFarm(farmOptions{binary: binary, entries: 1, engines: 4, slots: 128, queue: 4000, engine: fakes.EngineOptions{Prefill: 5 * time.Millisecond, TimePerToken: 20 * time.Millisecond}})
		if err != nil {
			return err
		}
		defer f.close()
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "path\tfirst token p50 ms\tp99 ms\tbetween tokens p50 ms\tp99 ms")
		if err := measurePath(w, "direct", newCaller(f.engines[0].Address()), streams); err != nil {
			return err
		}
		if err := measurePath(w, "through", newCaller(f.entries[0].listen), streams); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
		return measureUnary(binary, unary)
	}}
}

// warmStreams opens the connections that the measured streams use.
const warmStreams = 128

// measurePath opens streams at a steady rate, and times each from when it was
// due, so that a slow answer does not hide the ones behind it.
func measurePath(w *tabwriter.Writer, name string, c *caller, streams int) error {
	const interval = 10 * time.Millisecond
	warm := func(i int) error {
		_, err := c.chat("question", fmt.Sprintf("warm %d tokens=30 ", i), true)
		return err
	}
	if err := parallel(warmStreams, warmStreams, warm); err != nil {
		return err
	}
	first, gaps := newHistogram(), newHistogram()
	begin := time.Now()
	err := parallel(streams, streams, func(i int) error {
		due := begin.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		late := time.Since(due)
		t, err := c.chat("question", fmt.Sprintf("%d tokens=30 ", i), true)
		first.add(t.first + late)
		for _, g := range t.gaps {
			gaps.add(g)
		}
		return err
	})
	fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\n", name, first.quantile(50), first.quantile(99), gaps.quantile(50), gaps.quantile(99))
	return err
}

// saveProfiles writes processor profiles of an entry and an agent under load.
func saveProfiles(f *farm) {
	for _, p := range []*process{f.entries[0], f.agents[0]} {
		req := fasthttp.AcquireRequest()
		resp := fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + p.admin + "/debug/pprof/profile?seconds=4")
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+labOperator)
		if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err == nil {
			_ = os.WriteFile(os.Getenv("LAB_PROFILE")+"-"+p.name, resp.Body(), 0o644)
		}
	}
}

func measureUnary(binary string, n int) error {
	f, err := newFarm(farmOptions{binary: binary, entries: 1, engines: 4, slots: 64, queue: 4000})
	if err != nil {
		return err
	}
	defer f.close()
	c := newCaller(f.entries[0].listen)
	if os.Getenv("LAB_PROFILE") != "" {
		go saveProfiles(f)
	}
	before := f.entries[0].cpu()
	begin := time.Now()
	err = parallel(n, 128, func(i int) error {
		return c.unary(fmt.Sprintf("%d tokens=1 ", i))
	})
	took := time.Since(begin)
	fmt.Printf("unary: %.0f requests/s through one entry, %.0f us of its processor time each\n", float64(n)/took.Seconds(), (f.entries[0].cpu()-before)/float64(n)*1e6)
	return err
}
