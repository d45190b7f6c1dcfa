// Package store is the client of the platform's key-value service. It uses the
// Consul HTTP API: /v1/kv with ?cas= and blocking queries, and /v1/health/service
// for the list of hosts. The HTTP library never retries a call, because a retried
// write could take effect twice.
package store

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"cactustide/dial"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable means that the call was not sent and had no effect.
	KindUnreachable Kind = "unreached"
	// KindAmbiguous means that a write may have taken effect.
	KindAmbiguous Kind = "unknown"
	// KindRefused means that the service rejected the call, or that its response
	// could not be decoded.
	KindRefused Kind = "refused"
)

// Error is an error of this package with its operation and kind.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return "store: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// CallTimeout bounds a call that does not wait for a change.
const CallTimeout = 2 * time.Second

const (
	maxConns = 64
	// watchMargin is the time that a watch may take beyond its wait; the service adds up to a sixteenth
	// of the wait itself.
	watchMargin = CallTimeout
	pathKV      = "/v1/kv/"
	pathService = "/v1/health/service/"
)

// Pair is a key with its value and version.
type Pair struct {
	Key   string
	Value []byte
	// Version is the ModifyIndex of the key; 0 means absent.
	Version uint64
}

// Host is a host that is registered for a service.
type Host struct {
	Name   string
	Listen string
	Peer   string
	// Group is the model or service that the host serves.
	Group string
	// Leaving is set while the host is in maintenance mode.
	Leaving bool
}

// Client calls one key-value service. The calls are fields so that tests and the
// protocol of another platform can replace them.
type Client struct {
	// Get reads a key; a Pair with version 0 means absent.
	Get func(key string) (Pair, error)
	// Watch blocks until the key changes after index or the wait ends. It returns the
	// index for the next call.
	Watch func(key string, index uint64, wait time.Duration) (Pair, uint64, error)
	// Index returns the index of the last change of a key, or of those that begin with it, without
	// the value. It waits like Watch, and fails a time after the wait.
	Index func(key string, index uint64, wait, margin time.Duration) (uint64, error)
	// List reads all keys under a prefix.
	List func(prefix string) ([]Pair, error)
	// Swap writes a value if the key still has the version; 0 creates the key. It
	// reports whether it wrote.
	Swap func(key string, value []byte, version uint64) (bool, error)
	// Put writes a value regardless of the version.
	Put func(key string, value []byte) error
	// Hosts lists the hosts of a service.
	Hosts func(service string) ([]Host, error)
	// OnCall, if set, is called after each call with its operation and whether it
	// failed.
	OnCall func(op string, failed bool)
}

// maxAnswerBytes bounds an answer, whose time has no bound.
const maxAnswerBytes = 64 << 20

// An answer whose first answerBytes came within the time of its call may take longer, while as many
// arrive within each answerWindow.
const (
	answerBytes  = 8 << 10
	answerWindow = 700 * time.Millisecond
)

// Open connects to a store.
func Open(address string) (net.Conn, error) {
	return dial.OpenProgress(address, dial.Progress{Bytes: answerBytes, Window: answerWindow})
}

type consul struct {
	address string
	http    *fasthttp.Client
	onCall  func(op string, failed bool)
}

// New returns a client of the service at address (host:port).
func New(address string) *Client {
	c := &Client{}
	h := &consul{
		address: address,
		http: &fasthttp.Client{
			Dial:                      Open,
			NoDefaultUserAgentHeader:  true,
			MaxConnsPerHost:           maxConns,
			MaxResponseBodySize:       maxAnswerBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                dial.NeverResend,
		},
		onCall: func(op string, failed bool) {
			if c.OnCall != nil {
				c.OnCall(op, failed)
			}
		},
	}
	c.Get = h.get
	c.Watch = h.watch
	c.Index = h.index
	c.List = h.list
	c.Swap = h.swap
	c.Put = h.put
	c.Hosts = h.hosts
	return c
}

// response is a copy of an HTTP response, because the library reuses its buffers.
type response struct {
	status int
	index  uint64
	body   []byte
}

func (h *consul) call(op, method, path string, query url.Values, body []byte, timeout time.Duration) (response, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	target := "http://" + h.address + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req.SetRequestURI(target)
	req.Header.SetMethod(method)
	req.SetBody(body)
	began := time.Now()
	err := h.http.DoDeadline(req, resp, began.Add(timeout))
	if method == fasthttp.MethodGet && IsStale(err, time.Since(began)) {
		// The service may have closed the connection since the last call. The others may be closed too.
		h.http.CloseIdleConnections()
		err = h.http.DoDeadline(req, resp, began.Add(timeout))
	}
	h.onCall(op, err != nil || resp.StatusCode() >= fasthttp.StatusInternalServerError)
	if err != nil {
		return response{}, &Error{Op: op, Kind: errorKind(err), Err: err}
	}
	out := response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
	out.index, _ = strconv.ParseUint(string(resp.Header.Peek("X-Consul-Index")), 10, 64)
	if out.status >= fasthttp.StatusBadRequest && out.status != fasthttp.StatusNotFound {
		// A 5xx may come from a proxy after the write took effect.
		return out, &Error{Op: op, Kind: statusKind(out.status), Err: errs.New("status %d: %s", out.status, out.body)}
	}
	return out, nil
}

// staleTime is within which a call ends on a connection that was closed before it.
const staleTime = 100 * time.Millisecond

// IsStale reports whether a call that took a time failed because its connection had ended before.
func IsStale(err error, took time.Duration) bool {
	return took < staleTime && (errors.Is(err, fasthttp.ErrConnectionClosed) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET))
}

func statusKind(status int) Kind {
	if status >= fasthttp.StatusInternalServerError {
		return KindAmbiguous
	}
	return KindRefused
}

// errorKind classifies transport errors. Only a failed dial had certainly no effect.
func errorKind(err error) Kind {
	if dial.IsDialError(err) {
		return KindUnreachable
	}
	return KindAmbiguous
}

// kvPair is an element of the JSON list that /v1/kv returns.
type kvPair struct {
	Key         string
	Value       string
	ModifyIndex uint64
}

func decodePairs(op string, body []byte) ([]Pair, error) {
	var decoded []kvPair
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, &Error{Op: op, Kind: KindRefused, Err: err}
	}
	pairs := make([]Pair, 0, len(decoded))
	for _, e := range decoded {
		value, err := base64.StdEncoding.DecodeString(e.Value)
		if err != nil {
			return nil, &Error{Op: op, Kind: KindRefused, Err: err}
		}
		pairs = append(pairs, Pair{Key: e.Key, Value: value, Version: e.ModifyIndex})
	}
	return pairs, nil
}

func (h *consul) read(op, key string, query url.Values, timeout time.Duration) ([]Pair, uint64, error) {
	out, err := h.call(op, fasthttp.MethodGet, pathKV+key, query, nil, timeout)
	if err != nil {
		return nil, 0, err
	}
	if out.status == fasthttp.StatusNotFound {
		return nil, out.index, nil
	}
	pairs, err := decodePairs(op, out.body)
	return pairs, out.index, err
}

func (h *consul) get(key string) (Pair, error) {
	pairs, _, err := h.read("get", key, nil, CallTimeout)
	if err != nil || len(pairs) == 0 {
		return Pair{Key: key}, err
	}
	return pairs[0], nil
}

// waitQuery returns the query of a call that waits for a change. The answer of a service that does
// not ask its other hosts first may be older than the call.
func waitQuery(index uint64, wait time.Duration) url.Values {
	return url.Values{
		"index":      {strconv.FormatUint(index, 10)},
		"wait":       {strconv.FormatInt(int64(wait/time.Millisecond), 10) + "ms"},
		"consistent": {""},
	}
}

func (h *consul) index(key string, index uint64, wait, margin time.Duration) (uint64, error) {
	query := waitQuery(index, wait)
	query.Set("keys", "")
	out, err := h.call("index", fasthttp.MethodGet, pathKV+key, query, nil, wait+margin)
	if err != nil {
		return 0, err
	}
	if out.index == 0 {
		return 0, &Error{Op: "index", Kind: KindRefused, Err: errs.New("an answer without an index")}
	}
	return out.index, nil
}

func (h *consul) watch(key string, index uint64, wait time.Duration) (Pair, uint64, error) {
	pairs, newIndex, err := h.read("watch", key, waitQuery(index, wait), wait+watchMargin)
	if err != nil || len(pairs) == 0 {
		return Pair{Key: key}, newIndex, err
	}
	return pairs[0], newIndex, nil
}

func (h *consul) list(prefix string) ([]Pair, error) {
	pairs, _, err := h.read("list", prefix, url.Values{"recurse": {"true"}}, CallTimeout)
	return pairs, err
}

func (h *consul) swap(key string, value []byte, version uint64) (bool, error) {
	query := url.Values{"cas": {strconv.FormatUint(version, 10)}}
	out, err := h.call("swap", fasthttp.MethodPut, pathKV+key, query, value, CallTimeout)
	if err != nil {
		return false, err
	}
	return strings.TrimSpace(string(out.body)) == "true", nil
}

func (h *consul) put(key string, value []byte) error {
	_, err := h.call("put", fasthttp.MethodPut, pathKV+key, nil, value, CallTimeout)
	return err
}

// serviceHealth is an element of the JSON list that /v1/health/service returns.
type serviceHealth struct {
	Service struct {
		ID      string
		Address string
		Port    int
		Meta    map[string]string
	}
	Checks []struct {
		CheckID string
		Status  string
	}
}

func (h *consul) hosts(service string) ([]Host, error) {
	out, err := h.call("hosts", fasthttp.MethodGet, pathService+service, nil, nil, CallTimeout)
	if err != nil {
		return nil, err
	}
	var decoded []serviceHealth
	if err := json.Unmarshal(out.body, &decoded); err != nil {
		return nil, &Error{Op: "hosts", Kind: KindRefused, Err: err}
	}
	hosts := make([]Host, 0, len(decoded))
	for _, e := range decoded {
		host := Host{
			Name:   e.Service.ID,
			Listen: e.Service.Address + ":" + strconv.Itoa(e.Service.Port),
			Peer:   e.Service.Meta["peer"],
			Group:  e.Service.Meta["group"],
		}
		for _, check := range e.Checks {
			// Consul adds this check to a host in maintenance mode.
			if strings.Contains(check.CheckID, "_maintenance") {
				host.Leaving = true
			}
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}
