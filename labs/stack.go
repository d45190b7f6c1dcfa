package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"cactustide/platform/stand"
)

// Addresses of the demonstration: each entry has its own IP address on the loopback
// interface, and the ports are the same for all.
const (
	stackEntries      = 2
	stackReplicas     = 3
	stackListenPort   = 8545
	stackReadyPort    = 8548
	stackControlPort  = 8549
	stackInternalPort = 7020
	stackAPIKey       = "demo-key"
	stackHost         = "desk.example"
	// stackTimeout bounds the wait until the entries are ready, and is the deadline of the
	// example requests.
	stackTimeout = 10 * time.Second
)

// newStack returns the command that runs direct entries in front of fakes of the
// platform's store and replicas.
func newStack() command {
	parser := newSubcommand("stack", "runs two entries that forward directly to upstreams, with a fake platform")
	binary := "bin/cactustide"
	parser.String(&binary, "b", "binary", "path of the cactustide program")
	return command{parser: parser, run: func() error { return runStack(binary) }}
}

func runStack(binary string) error {
	dir, err := os.MkdirTemp("", "cactustide-stack-")
	if err != nil {
		return err
	}
	store, err := stand.NewStore("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer store.Close()
	store.Put("op/config", stand.EncodeConfig(1, []stand.Route{
		{Host: stackHost, Prefix: "/read/", Kind: "idempotent", Service: "desk", Timeout: 2 * time.Second, MaxAttempts: 2},
		{Host: stackHost, Prefix: "/book/", Kind: "non_idempotent", Service: "desk", Timeout: 2 * time.Second, MaxAttempts: 1},
		{Host: stackHost, Prefix: "/chat/", Kind: "streaming", Service: "desk", Timeout: 10 * time.Second, MaxAttempts: 1},
	}, []string{"desk"}, map[string][]string{"team": {stackAPIKey}}))
	for i := range stackReplicas {
		r, err := stand.NewReplica(fmt.Sprintf("replica-%d", i), "desk", "zone-a", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer r.Close()
		store.Put(r.StoreKey(), r.Registration("ready"))
	}
	for i := range stackEntries {
		entry, err := startStackEntry(binary, dir, store.Address, i)
		if err != nil {
			return err
		}
		defer stopStackEntry(entry)
	}
	for i := range stackEntries {
		if err := waitStackReady(stackIP(i)); err != nil {
			return errs.New("%v; logs: %s", err, dir)
		}
	}
	if err := printStack(dir, store.Address); err != nil {
		return err
	}
	waitForSignal()
	return nil
}

func stackIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

func startStackEntry(binary, dir, store string, i int) (*exec.Cmd, error) {
	name := fmt.Sprintf("entry-%d", i)
	boot := stand.BootFile{
		Name: name, Zone: "zone-a", IP: stackIP(i), StoreAddress: store, SeedIPs: []string{stackIP(0), stackIP(1)},
		ListenPort: stackListenPort, ReadinessPort: stackReadyPort, ControlPort: stackControlPort, InternalPort: stackInternalPort,
		GracePeriod: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 50, MemoryMB: 256, MaxFDs: 2000,
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, boot.Encode(), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(binary, "direct")
	cmd.Env = append(os.Environ(), stand.EnvBootFile+"="+file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd, cmd.Start()
}

func stopStackEntry(cmd *exec.Cmd) {
	_ = cmd.Process.Signal(syscall.SIGTERM) // The process may have exited already.
	_ = cmd.Wait()                          // The exit status is of no use; failures are in the log.
}

func waitStackReady(ip string) error {
	client := http.Client{Timeout: time.Second}
	url := fmt.Sprintf("http://%s:%d/v1/readyz", ip, stackReadyPort)
	for end := time.Now().Add(stackTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errs.New("%s was not ready within %v", url, stackTimeout)
}

func printStack(dir, store string) error {
	admins := []string{fmt.Sprintf("%s:%d", stackIP(0), stackControlPort), fmt.Sprintf("%s:%d", stackIP(1), stackControlPort)}
	fmt.Printf("\nstore         %s\nlogs          %s/*.log\n", store, dir)
	fmt.Printf("operators     bin/cactustide entries --admin %s --admin %s --store %s\n", admins[0], admins[1], store)
	fmt.Printf("metrics       curl http://%s/metrics\n\nTry:\n", admins[0])
	for i, request := range []stand.RequestSpec{
		{Method: http.MethodGet, Path: "/read/1", ID: "1"},
		{Method: http.MethodPost, Path: "/book/1", ID: "2", Body: "hello"},
		{Method: http.MethodPost, Path: "/chat/1", ID: "3", Body: "hello", Stream: true},
	} {
		request.Host, request.APIKey, request.Timeout = stackHost, stackAPIKey, stackTimeout
		line, err := stand.CurlCommand(fmt.Sprintf("%s:%d", stackIP(i%stackEntries), stackListenPort), request)
		if err != nil {
			return err
		}
		fmt.Printf("\n%s\n", line)
	}
	fmt.Println("\nCtrl-C ends all processes.")
	return nil
}
