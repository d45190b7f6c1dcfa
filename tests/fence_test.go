package tests

import (
	"bufio"
	"bytes"
	"net/http"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cactustide/agent"
	"cactustide/fakes"
	"cactustide/wire"
)

// TestReplacedAgent pauses an agent, starts another one for its upstream and resumes
// the paused one. An upstream that checks fencing tokens rejects the old agent's
// calls, and the agent reports correctly that they were not run.
func TestReplacedAgent(t *testing.T) {
	o := stackOptions{entries: 1, plains: 1, slots: 4, queue: 16, fence: true}
	s := newStack(t, o)
	old := s.agents[0]
	if r := s.sendAction(s.entries[0], "before", 5*time.Second); r.status != http.StatusOK {
		t.Fatalf("got %+v, want 200 through the first agent", r)
	}
	old.signal(syscall.SIGSTOP)
	s.addAgent("records-0", "plain", "", service, s.plains[0].Address(), o)
	s.waitFor("an action through the second agent", 10*time.Second, func() bool {
		return s.sendAction(s.entries[0], "between", 2*time.Second).status == http.StatusOK
	})
	old.signal(syscall.SIGCONT)
	job := &wire.Job{Id: "late", Partner: "gyeongnam", Team: "permits", Class: "action", Service: service, Method: http.MethodPost, Path: "/permits", Key: "late", Once: true, Left: 2000}
	got := sendJob(t, old, job)
	if got.GetKind() != wire.FrameKind_REFUSE || got.GetReason() != agent.ReasonReplaced || got.GetRun() != wire.Execution_NONE {
		t.Errorf("got %v, want a refusal by the replaced agent", got)
	}
	if got := s.plains[0].Runs("late"); got != 0 {
		t.Errorf("got %d runs of the replaced agent's call, want none", got)
	}
	// The idempotency key is free again for the agent that replaced it.
	if r := s.sendAction(s.entries[0], "late", 5*time.Second); r.status != http.StatusOK || s.plains[0].Runs("late") != 1 {
		t.Errorf("got %+v and %d runs, want the call run once by the second agent", r, s.plains[0].Runs("late"))
	}
}

// sendJob sends a job to an agent as an entry does and returns the last frame.
func sendJob(t *testing.T, a *process, job *wire.Job) *wire.Frame {
	t.Helper()
	data, err := proto.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodPost, "http://"+a.listen+"/job", bytes.NewReader(data))
	req.Header.Set("Authorization", "Bearer t")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	last := &wire.Frame{}
	for {
		f := &wire.Frame{}
		if err := wire.ReadFrame(reader, f); err != nil {
			return last
		}
		last = f
	}
}

// TestAgentAddressChange checks that an entry follows an upstream whose agent has a new
// address in the list of hosts.
func TestAgentAddressChange(t *testing.T) {
	o := stackOptions{entries: 1, engines: 1, slots: 4, queue: 16}
	s := newStack(t, o)
	s.agents[0].kill()
	s.addAgent("birch-0", "engine", model, "", s.engines[0].Address(), o)
	s.waitFor("a response through the new agent", 10*time.Second, func() bool {
		r := s.sendChat(s.entries[0], "moved tokens=3 ", false, 2*time.Second)
		return r.status == http.StatusOK && bytes.Contains([]byte(r.body), []byte(fakes.ExpectedOutput("moved tokens=3 ")))
	})
}
