package setup

import (
	"testing"
	"time"
)

// TestStopTimeout guards against settings that leave a planned stop no time.
func TestStopTimeout(t *testing.T) {
	tests := map[string]struct {
		timeout time.Duration
		want    bool
	}{
		"none":        {0, false},
		"negative":    {-time.Second, false},
		"too short":   {999 * time.Millisecond, false},
		"the minimum": {time.Second, true},
		"usual":       {8 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &DirectSettings{
				Name: "e", Centre: "c", Listen: "127.0.0.1:1", Readiness: "127.0.0.1:2", Peer: "127.0.0.1:3", Store: "127.0.0.1:4",
				MemoryBytes: 1 << 20, MaxSockets: 100, RetryWindow: time.Second, StopTimeout: test.timeout,
			}
			if got := s.Check(); (len(got) == 0) != test.want {
				t.Errorf("got violations %v, want valid: %v", got, test.want)
			}
		})
	}
}
