package agent

import (
	"context"
	"sync"
	"time"

	"cactustide/wire"
)

// heartbeatInterval is the time between WAIT frames to the entry. The agent detects
// by a failed write that the entry has cancelled the job.
const heartbeatInterval = 250 * time.Millisecond

// sender writes frames to one entry, from the execution and from its heartbeat.
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

// hasFailed reports whether a write to the entry has failed.
func (s *sender) hasFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// close discards all frames that are sent from now on.
func (s *sender) close() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
}

// heartbeat sends WAIT frames for one job.
type heartbeat struct {
	out     *sender
	cancel  context.CancelFunc
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startHeartbeat sends a WAIT frame at each heartbeatInterval. When a write fails,
// the job is cancelled.
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

// Close stops the heartbeat and waits for a frame that is being written.
func (h *heartbeat) Close() {
	h.out.close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
}
