package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadEvents and uploadGap make a stream of three seconds.
	uploadEvents = 30
	uploadGap    = 100 * time.Millisecond
	// readLater is when a replica reads the body of a request that it has begun to answer.
	readLater = 2500 * time.Millisecond
	// uploadBytes is the size of the body, the largest of the site's long requests.
	uploadBytes = 100_000
	// smallWindow is less than that, as on links with small windows.
	smallWindow = 16 << 10
	graceS      = 8
	// uploadClients is the number of clients of each entry.
	uploadClients = 8
)

// runUpload checks LOST around a planned stop: streams that last three seconds must be whole. The
// replicas answer before they have read a long body, and read on later.
func runUpload(w *world) (bool, error) {
	w.store.put("op/config", encodeConfig(3, usualRoutes, map[string][]string{"hule930": {"key-kept"}}))
	w.window = smallWindow
	if err := w.smallFleet(); err != nil {
		return false, err
	}
	for _, r := range w.replicas {
		r.readsLate = true
		r.handler = r.answerBeforeBody
	}
	time.Sleep(200 * time.Millisecond)
	if err := w.startEntries(4, func(int) string { return w.store.address }); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, e := range w.entries[:2] {
		for range uploadClients {
			clients.Go(func() { w.draft(e, stop) })
		}
	}
	begin := w.since(time.Now())
	w.sleepUntil(begin + 8)
	target := w.entries[0]
	terminated := time.Now()
	w.note("platform SIGTERM to %s", target.name)
	if err := target.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	w.sleepUntil(begin + 9)
	close(stop) // No request is sent later than 1 s after the signal.
	clients.Wait()
	return w.checkUpload(target, terminated), nil
}

// draft sends long streaming requests to one entry until stop is closed.
func (w *world) draft(e *entry, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	body := strings.Repeat("x", uploadBytes)
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		w.send(client, e, request{method: http.MethodPost, path: "/lohu930/2f", key: "key-kept", body: body, stream: true, limit: 10 * time.Second})
	}
}

// answerBeforeBody streams events to a request whose body is long and reads the body later.
func (r *replica) answerBeforeBody(w http.ResponseWriter, q *http.Request) bool {
	id := q.Header.Get("Cactustide-Request-Id")
	flush := http.NewResponseController(w)
	if err := flush.EnableFullDuplex(); err != nil {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	begun := time.Now()
	read := make(chan int64, 1)
	go func() {
		if r.world.trouble {
			time.Sleep(readLater)
		}
		n, _ := io.Copy(io.Discard, q.Body)
		read <- n
	}()
	for n := 1; n <= uploadEvents; n++ {
		time.Sleep(uploadGap)
		_, err := io.WriteString(w, eventOf(id, n))
		if err == nil {
			err = flush.Flush()
		}
		if err != nil {
			r.world.note("replica  %s: %s was cut off by its caller after %d of %d events, %v after its begin: %v", r.id, id, n-1, uploadEvents, time.Since(begun).Round(time.Millisecond), err)
			return true
		}
	}
	r.world.note("replica  %s: %s complete, %d bytes of the body read", r.id, id, <-read)
	return true
}

// checkUpload counts the streams that the stopping entry cut after the signal.
func (w *world) checkUpload(target *entry, terminated time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	counted, cut := 0, 0
	end := terminated.Add((graceS + 1) * time.Second)
	for _, a := range w.answers {
		if a.entry != target.name || a.endedAt.Before(terminated) || a.endedAt.After(end) || len(w.runs[a.id]) == 0 {
			continue
		}
		counted++
		// An answer of another status is one, though not of a replica.
		if a.status != http.StatusOK && a.err == nil || a.err == nil && isWholeStream(a.body, a.id, uploadEvents) {
			continue
		}
		cut++
		w.noteLocked("check    %s was passed on and ended %v after its begin with %d of %d events: %v", a.id, a.endedAt.Sub(a.sentAt).Round(time.Millisecond), strings.Count(a.body, "id: "), uploadEvents, a.err)
	}
	w.noteLocked("check    %d of %d streams that the stopping entry had passed on ended without a complete answer", cut, counted)
	fmt.Printf("%d of %d streams ended without a complete answer\n", cut, counted)
	return cut > 0
}
