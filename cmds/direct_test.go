package cmds

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"cactustide/meter"
	"cactustide/platform"
	"cactustide/platform/stand"
	"cactustide/setup"
	"cactustide/store"
	"cactustide/wire"
)

func TestCheckDirect(t *testing.T) {
	cases := map[string]struct {
		text string
		code int
		want string
	}{
		"good":     {`{"node-name":"n","ip":"10.0.0.1","zone":"z","listen":{"frontend":"10.0.0.1:1","readiness":"10.0.0.1:2"},"internal-ports":[7],"limits":{"memory-mb":9,"max-fds":900},"bounds":{"grace-s":8,"budget-window-s":10},"platform":{"address":"10.0.0.2:3"}}`, ExitOK, "no faults"},
		"no ports": {`{"node-name":"n"}`, ExitInvalid, "internal-ports"},
		"no JSON":  {`x`, ExitInvalid, "settings"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "boot.json")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if got := Run([]string{"check", file, "--role", "direct"}, &out, &out); got != c.code || !strings.Contains(out.String(), c.want) {
				t.Errorf("got %d %q, want %d and %q", got, out.String(), c.code, c.want)
			}
		})
	}
}

func TestEntries(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"name":"e-1","ready":true,"version":"7","upstreams":[{"id":"u","banned":true}]}`))
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	var out bytes.Buffer
	if got := Run([]string{"entries", "--admin", l.Addr().String()}, &out, &out); got != ExitOK || !strings.Contains(out.String(), "e-1") {
		t.Errorf("got %d %q, want the entry's line", got, out.String())
	}
	if got := Run([]string{"entries"}, &out, &out); got != ExitUsage {
		t.Errorf("got %d without an address, want %d", got, ExitUsage)
	}
	if got := Run([]string{"entries", "--admin", "127.0.0.1:1"}, &out, &out); got != ExitFailed {
		t.Errorf("got %d for an unreachable entry, want %d", got, ExitFailed)
	}
}

// TestDifferences checks that the configuration in force is compared with the
// stored one, and that no API key is printed.
func TestDifferences(t *testing.T) {
	route := func(name string) stand.Route {
		return stand.Route{Host: "h.example", Prefix: "/" + name + "/", Kind: "idempotent", Service: "desk", Timeout: time.Second, MaxAttempts: 2}
	}
	config := func(version uint64, routes ...stand.Route) []byte {
		return stand.EncodeConfig(version, routes, []string{"desk"}, map[string][]string{"team": {"secret"}})
	}
	change, err := platform.NewItemCodec().Decode(store.Item{Key: "op/config", Value: config(1, route("old"))})
	if err != nil {
		t.Fatal(err)
	}
	reply, err := protojson.Marshal(&wire.RulesReply{Version: 1, Lines: change.Document.Lines()})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/rules" {
			_, _ = w.Write(reply)
			return
		}
		_, _ = w.Write([]byte(`{"name":"e-1","ready":true,"version":"1"}`))
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	s, err := stand.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for name, c := range map[string]struct {
		stored []byte
		code   int
		want   []string
	}{
		"the same": {config(1, route("old")), ExitOK, []string{"version 1 in force, as in the store"}},
		"a newer one": {
			config(2, route("old"), route("new")), ExitFailed,
			[]string{"version 1 in force, version 2 in the store", "+ route", "h.example/new/"},
		},
		"unreadable": {[]byte("x"), ExitFailed, []string{"read the store"}},
	} {
		t.Run(name, func(t *testing.T) {
			s.Put("op/config", c.stored)
			var out bytes.Buffer
			if got := Run([]string{"entries", "--admin", l.Addr().String(), "--store", s.Address}, &out, &out); got != c.code {
				t.Errorf("got %d, want %d", got, c.code)
			}
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("got %q, want %q in it", out.String(), want)
				}
			}
			if strings.Contains(out.String(), "secret") {
				t.Errorf("got %q, want no key in it", out.String())
			}
		})
	}
}

// TestReloadBeforeStop guards against a stop that uses the grace period of the start although the
// settings have changed since, also where the stop follows the change at once.
func TestReloadBeforeStop(t *testing.T) {
	boot := func(grace string) string {
		return `{"node-name":"n","ip":"10.0.0.1","zone":"z","listen":{"frontend":"10.0.0.1:1","readiness":"10.0.0.1:2"},"internal-ports":[7],` +
			`"limits":{"memory-mb":9,"max-fds":900},"bounds":{"grace-s":` + grace + `,"budget-window-s":10},"platform":{"address":"10.0.0.2:3"}}`
	}
	tests := map[string]struct {
		// changes are the contents of the file after the start; a SIGHUP follows each if hup is set.
		changes []string
		hup     bool
		want    time.Duration
		reloads int
	}{
		"unchanged":                 {nil, true, 4 * time.Second, 0},
		"longer, SIGHUP":            {[]string{boot("8")}, true, 8 * time.Second, 1},
		"longer, no signal":         {[]string{boot("8")}, false, 8 * time.Second, 1},
		"shorter, SIGHUP":           {[]string{boot("2")}, true, 2 * time.Second, 1},
		"two changes":               {[]string{boot("8"), boot("6")}, true, 6 * time.Second, 2},
		"invalid":                   {[]string{boot("0")}, true, 4 * time.Second, 0},
		"invalid after a valid one": {[]string{boot("8"), "{"}, true, 8 * time.Second, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "boot.json")
			t.Setenv(platform.EnvBootFile, file)
			write := func(text string) {
				if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			write(boot("4"))
			settings, err := platform.LoadSettings()
			if err != nil {
				t.Fatal(err)
			}
			hup, stop := make(chan os.Signal), make(chan os.Signal, 1)
			reloaded := make(chan time.Duration, len(test.changes)+1)
			type result struct {
				grace time.Duration
				sig   os.Signal
			}
			done := make(chan result)
			go func() {
				got, sig := watchSettings(meter.NewLogger(io.Discard, "info", "json", "direct"), settings, hup, stop, func(next *setup.DirectSettings) {
					reloaded <- next.StopTimeout
				})
				done <- result{got.StopTimeout, sig}
			}()
			for _, text := range test.changes {
				write(text)
				if test.hup {
					hup <- syscall.SIGHUP
					hup <- syscall.SIGHUP // It has read the file by then.
				}
			}
			stop <- syscall.SIGTERM
			got := <-done
			if got.grace != test.want || got.sig != syscall.SIGTERM {
				t.Errorf("got a stop by %v with a grace of %v, want SIGTERM and %v", got.sig, got.grace, test.want)
			}
			if n := len(reloaded); n != test.reloads {
				t.Errorf("got %d reloads, want %d", n, test.reloads)
			}
		})
	}
}
