package tests

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// TestSIGHUPDuringStartup: a SIGHUP that arrives while a starting entry still reads
// its settings must not end it (soak seed 3000).
func TestSIGHUPDuringStartup(t *testing.T) {
	store, err := stand.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	// The settings are a pipe, so that the test decides how long reading them takes.
	file := filepath.Join(t.TempDir(), "boot.json")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var out bytes.Buffer
	cmd := exec.Command(binary, "direct")
	cmd.Env = append(os.Environ(), stand.EnvBootFile+"="+file)
	cmd.Stdout = &lockedWriter{buffer: &out, mu: &mu}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	// Opening the pipe blocks until the entry opens it for reading.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	boot := stand.BootFile{
		Name: "early", Zone: "z", IP: "127.0.0.31", StoreAddress: store.Address, ListenPort: 8545, ReadinessPort: 8548, ControlPort: 8549,
		InternalPort: 7020, GracePeriod: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 10, MemoryMB: 256, MaxFDs: 1000,
	}
	if _, err := pipe.Write(boot.Encode()); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	listens := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return bytes.Contains(out.Bytes(), []byte("listening on"))
	}
	for end := time.Now().Add(5 * time.Second); !listens(); time.Sleep(10 * time.Millisecond) {
		select {
		case err := <-exited:
			t.Fatalf("got exit %v, want an entry that listens", err)
		default:
		}
		if time.Now().After(end) {
			t.Fatal("not listening within 5 s")
		}
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	<-exited
}
