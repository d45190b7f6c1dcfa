package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const (
	headCalm   = 8 * time.Second
	headLength = 26 * time.Second
	// Some bytes of a head without end come every headPause: headFast at first, headSlow after
	// headBegin.
	headFast  = 20_000
	headSlow  = 200
	headBegin = time.Second
	headPause = 100 * time.Millisecond
	// lostRequests is how many requests on kept channels may end without an answer (LOST).
	lostRequests = 3
)

func init() {
	cases["head"] = runHead
}

// runHead makes the replicas of one service send heads without end, and watches the memory of
// an entry through which streams of another service run.
func runHead(s *site, trouble bool) (bool, error) {
	s.routes = []route{
		{prefix: "/brief/", kind: "streaming", service: "frostmind", timeout: 10 * time.Second, target: 2 * time.Second, attempts: 1, priority: 2},
		{prefix: "/help/", kind: "streaming", service: "helpmind", timeout: 12 * time.Second, target: 300 * time.Millisecond, attempts: 1},
	}
	s.putConfig(1)
	begin := time.Now()
	for range 4 {
		r, err := s.addReplica("frostmind", "tirol-a", 64)
		if err != nil {
			return false, err
		}
		r.events = 10
		r.isEndless = func() bool { return trouble && time.Since(begin) > headCalm }
	}
	for range 2 {
		r, err := s.addReplica("helpmind", "tirol-a", 64)
		if err != nil {
			return false, err
		}
		r.gap, r.events = 200*time.Millisecond, 30
	}
	if err := s.addEntries(1); err != nil {
		return false, err
	}
	begin = time.Now()
	e := s.entries[0]
	killed := make(chan struct{})
	go s.killAbove(e, killed)
	c := newClient(s.rec)
	stop := s.watchMemory()
	every(20, headLength, func(i int) {
		if i%5 == 0 {
			c.start(e, call{id: fmt.Sprintf("help%04d", i), method: http.MethodPost, path: "/help/1", parts: []string{"aa"}, partTokens: 200, timeout: 12 * time.Second, events: 30})
			return
		}
		c.start(e, call{id: fmt.Sprintf("brief%04d", i), method: http.MethodPost, path: "/brief/1", parts: []string{"bb"}, partTokens: 200, timeout: 10 * time.Second, events: 10})
	})
	outcomes := c.wait()
	stop()
	lost := 0
	for _, o := range outcomes {
		if o.path == "/help/1" && o.kept && !o.firstAt.IsZero() && !o.whole {
			lost++
		}
	}
	select {
	case <-killed:
		s.rec.say("%s was over memory-mb and was killed", e.name)
	default:
	}
	s.rec.say("%d streams of a sound service on kept connections began and ended without their end, %d allowed", lost, lostRequests)
	return lost > lostRequests, nil
}

// sendEndlessHead writes a head until the caller closes the connection.
func sendEndlessHead(c net.Conn) {
	n := 0
	begin := time.Now()
	for {
		size := headFast
		if time.Since(begin) > headBegin {
			size = headSlow
		}
		var b bytes.Buffer
		if n == 0 {
			b.WriteString("HTTP/1.1 200 OK\r\n")
		}
		for b.Len() < size {
			b.WriteString(strconv.FormatInt(int64(n), 36) + ":\n")
			n++
		}
		if _, err := c.Write(b.Bytes()); err != nil {
			return
		}
		time.Sleep(headPause)
	}
}

// killAbove kills an entry whose memory is over that of its host, as the platform does.
func (s *site) killAbove(e *entry, killed chan<- struct{}) {
	for {
		mb, ok := e.residentMB()
		if !ok {
			return
		}
		if mb > float64(s.memoryMB) {
			s.rec.line("%s uses %.0f MiB; SIGKILL", e.name, mb)
			e.signal(syscall.SIGKILL)
			close(killed)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
