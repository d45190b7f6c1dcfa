package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	uploadLead  = 4 * time.Second
	uploadBurst = 9 * time.Second
	uploadEnd   = 16 * time.Second
	// Uploads a second at the first entry, and how many times that the burst is.
	uploadRate   = 8.0
	uploadFactor = 2.3
	// uploadBytes is below max-body-bytes. A client's line takes 6.5 s for it.
	uploadBytes     = 4000000
	uploadPerSecond = 615000
	uploadLimit     = 10 * time.Second
)

// chunkedMemory lets clients send large bodies in chunks, more of them during a burst, while
// the platform enforces the memory of the machines. It checks LOST.
func chunkedMemory(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, frontMemoryMB)
	if err != nil {
		return false, err
	}
	defer w.close()
	if err := w.addEngines(2); err != nil {
		return false, err
	}
	for _, id := range []string{"i-0001", "i-0002", "i-0003"} {
		r := &replica{id: id, service: "permit-ledger", slots: 6, queue: 24, work: func(string) time.Duration { return 60 * time.Millisecond }}
		if err := w.addReplica(r); err != nil {
			return false, err
		}
	}
	doc := assistantConfig()
	doc.Routes[1].Timeout = int(uploadLimit.Milliseconds())
	if _, err := w.putConfig(doc); err != nil {
		return false, err
	}
	if err := w.startEntries(2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var all, uploads sync.WaitGroup
	var kills killLog
	all.Go(func() { w.enforceMemory(stop, kills.add(w)) })
	begin := time.Now()
	end := begin.Add(uploadEnd + uploadLimit)
	seen := &attempts{rec: rec}
	w.streamClients(&all, seen, end)
	peak := 0
	body := make([]byte, uploadBytes)
	for next := begin; time.Since(begin) < uploadEnd && kills.count() == 0; {
		time.Sleep(time.Until(next))
		rate := uploadRate
		if since := time.Since(begin); trouble && since > uploadLead && since < uploadLead+uploadBurst {
			rate *= uploadFactor
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		uploads.Go(func() {
			c := &channel{address: w.entries[0].front}
			defer c.close()
			id := newID("upload")
			seen.add(c.send(spec{
				id: id, method: http.MethodPost, path: "/upload/" + id, key: "office-key", limit: uploadLimit,
				body: body, chunked: true, bytesPerSecond: uploadPerSecond,
			}))
		})
		peak = max(peak, w.memory()[0])
	}
	for time.Now().Before(end) && kills.count() == 0 {
		time.Sleep(20 * time.Millisecond)
		peak = max(peak, w.memory()[0])
	}
	time.Sleep(time.Second)
	close(stop)
	uploads.Wait()
	all.Wait()
	rec.say("memory of front-1: at most %d MB seen", peak)
	return judgeLost(w, seen, &kills), nil
}
