package tests

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestTLS calls an entry over TLS with a certificate from its settings.
func TestTLS(t *testing.T) {
	cert, key, pool := writeCertificate(t)
	s := newStack(t, stackOptions{entries: 1, engines: 1, slots: 4, queue: 16, entrySettings: fmt.Sprintf("tls: {cert: %q, key: %q}\n", cert, key)})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}, Timeout: 5 * time.Second}
	req, _ := http.NewRequest(http.MethodGet, "https://"+s.entries[0].listen+"/v1/models", nil)
	req.Header.Set("Authorization", "Bearer "+eisklangKey)
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.TLS == nil {
		t.Errorf("got status %d, want 200 over TLS", resp.StatusCode)
	}
}

func writeCertificate(t *testing.T) (cert, key string, pool *x509.CertPool) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entry"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(cert, certPEM, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}), 0o600); err != nil {
		t.Fatal(err)
	}
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return cert, key, pool
}

// TestRequestIDInLogs checks that entry and agent log a request under the id that its
// caller got, and that no log holds a secret.
func TestRequestIDInLogs(t *testing.T) {
	s := newStack(t, stackOptions{entries: 1, engines: 1, slots: 4, queue: 16, level: "debug"})
	r := s.sendChat(s.entries[0], "logged tokens=3 ", true, 5*time.Second)
	if r.id == "" {
		t.Fatalf("got %+v, want a request id", r)
	}
	for _, p := range []*process{s.entries[0], s.agents[0]} {
		s.waitFor(p.name+" logs "+r.id, 3*time.Second, func() bool { return strings.Contains(p.logText(), r.id) })
		if strings.Contains(p.logText(), eisklangKey) || strings.Contains(p.logText(), "Bearer") {
			t.Errorf("%s: got a secret in the log", p.name)
		}
	}
}
