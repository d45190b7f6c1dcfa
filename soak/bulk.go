package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactustide/platform/stand"
)

const (
	// entryMemoryMB is the memory of an entry in its settings.
	entryMemoryMB = 96
	// A burst has burstUploads bodies of uploadPieces pieces of uploadPieceBytes, with a pause
	// of uploadPause between two.
	burstUploads     = 150
	uploadPieces     = 12
	uploadPieceBytes = 64 << 10
	uploadPause      = 40 * time.Millisecond
	// A storm writes stormVersions configurations of some stormBytes.
	stormVersions = 8
	stormBytes    = 700_000
	// memoryInterval is the time between two looks at the memory of the entries.
	memoryInterval = 100 * time.Millisecond
)

// bulkKinds are loads on the memory of the entries: bursts of large bodies in chunks, and a
// large configuration that changes again and again.
var bulkKinds = []string{"uploads", "storm"}

// NewBulk draws the loads on memory of a run, from a random source of their own.
func NewBulk(seed uint64, duration time.Duration, entries int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, 14))
	var plan []ScheduledFault
	for at := time.Duration(1500+random.IntN(2000)) * time.Millisecond; at < duration; at += time.Duration(2500+random.IntN(3000)) * time.Millisecond {
		plan = append(plan, ScheduledFault{Offset: at, Kind: bulkKinds[random.IntN(len(bulkKinds))], Target: random.IntN(entries)})
	}
	return plan
}

// injectBulk puts the loads on the entries.
func (r *runner) injectBulk() {
	begin := time.Now()
	for n, s := range NewBulk(r.opts.Seed, r.opts.FaultDuration, len(r.entries)) {
		time.Sleep(time.Until(begin.Add(s.Offset)))
		r.countFault(s)
		if s.Kind == "storm" {
			r.storm()
			continue
		}
		var uploads sync.WaitGroup
		for i := range burstUploads {
			uploads.Go(func() { r.upload(s.Target, fmt.Sprintf("up%02x%04x", n, i)) })
		}
		uploads.Wait()
	}
}

// storm changes a large configuration again and again.
func (r *runner) storm() {
	r.changing.Lock()
	defer r.changing.Unlock()
	r.filler = strings.Repeat("x", stormBytes)
	for range stormVersions {
		r.addRoute()
		time.Sleep(memoryInterval)
	}
	r.filler = ""
}

// slowBody is a body in pieces with pauses between them.
type slowBody struct{ left int }

// Read returns the next piece.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.left%uploadPieceBytes == 0 {
		time.Sleep(uploadPause)
	}
	n := min(len(p), b.left, uploadPieceBytes)
	b.left -= n
	return n, nil
}

// upload sends a request with a large body in chunks and records what came back.
func (r *runner) upload(entry int, id string) {
	route := r.routes["book"]
	ctx, cancel := context.WithTimeout(context.Background(), 2*route.Timeout)
	defer cancel()
	ex := exchange{id: id, entry: entry, routeName: "book", sentAt: time.Now(), cancelled: true} // It may be refused or too late.
	req, err := stand.NewRequest(ctx, fmt.Sprintf("%s:%d", r.entries[entry].ip, portListen), stand.RequestSpec{
		ID: id, Method: http.MethodPost, Host: host, Path: route.Prefix + "x", APIKey: apiKey, Timeout: 2 * route.Timeout,
	})
	if err != nil {
		r.reportViolation("upload", "cannot make request %s: %v", id, err)
		return
	}
	req.Body, req.ContentLength = io.NopCloser(&slowBody{left: uploadPieces * uploadPieceBytes}), -1
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Do(req); err == nil {
		body, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		ex.status, ex.body, ex.complete, ex.signature = resp.StatusCode, string(body), readErr == nil, stand.Signature(resp.Header)
	}
	ex.endedAt = time.Now()
	ex.duration = ex.endedAt.Sub(ex.sentAt)
	r.history.add(ex)
}

// watchMemory reports entries whose memory exceeds their settings, until stopCallers is closed.
func (r *runner) watchMemory() {
	for {
		select {
		case <-r.stopCallers:
			return
		case <-time.After(memoryInterval):
		}
		for _, p := range r.entries {
			p.restarting.Lock()
			pid := p.cmd.Process.Pid
			p.restarting.Unlock()
			if mb := residentMB(pid); mb > entryMemoryMB {
				r.reportViolation("memory", "%s uses %d MB, its settings have %d", p.name, mb, entryMemoryMB)
			}
		}
	}
}

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
