package agent

import (
	"context"
	"sync"
	"time"

	"cactustide/wire"
)

// heartbeatInterval is the time between signs of life to the entry. A write that
// fails is how the agent notices that the entry gave up.
const heartbeatInterval = 250 * time.Millisecond

// sender writes frames to one entry, from the run and from its heartbeat.
type sender struct {
	mu    sync.Mutex
	write func(f *wire.Frame, flush bool) error
	err   error
	ended bool
}

func (s *sender) send(f *wire.Frame, flush bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || s.ended {
		return s.err
	}
	s.ended = f.GetKind() == wire.FrameKind_END || f.GetKind() == wire.FrameKind_REFUSE
	s.err = s.write(f, flush)
	return s.err
}

// hasFailed reports whether the entry is gone.
func (s *sender) hasFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// close drops whatever is sent from now on.
func (s *sender) close() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
}

// heartbeat sends signs of life for one job.
type heartbeat struct {
	out     *sender
	cancel  context.CancelFunc
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startHeartbeat sends a sign of life at each interval. When one cannot be
// sent, the entry is gone and the job is cancelled.
func startHeartbeat(out *sender, cancel context.CancelFunc) *heartbeat {
	h := &heartbeat{out: out, cancel: cancel}
	h.mu.Lock()
	h.timer = time.AfterFunc(heartbeatInterval, h.tick)
	h.mu.Unlock()
	return h
}

func (h *heartbeat) tick() {
	if err := h.out.send(&wire.Frame{Kind: wire.FrameKind_WAIT}, true); err != nil {
		h.cancel()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stopped {
		h.timer.Reset(heartbeatInterval)
	}
}

// Close ends the signs of life and waits for one that is being written.
func (h *heartbeat) Close() {
	h.out.close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
}
