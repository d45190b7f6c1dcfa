package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"cactustide/config"
	"cactustide/route"
	"cactustide/wire"
)

const (
	pathChat     = "/v1/chat/completions"
	pathModels   = "/v1/models"
	pathServices = "/s/"
	// prefixLength is how much of the messages names a prefix, bytes.
	prefixLength = 1 << 10
	maxKey       = 255 // Bytes of an idempotency key.
)

// request is one request of a caller, bound and checked. Nothing in it points
// into the library's buffers.
type request struct {
	id      string
	member  member
	class   config.Class
	job     *wire.Job
	want    route.Requirements
	arrived time.Time
	// sent means that an agent had the request.
	sent bool
	// opened means that the request is counted as in progress.
	opened bool
	// settled guards against counting a request twice.
	settled bool
	// tokens and wasted of all attempts.
	tokens int64
	wasted int64
}

// chatBody holds the fields of a chat completion that routing needs.
type chatBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Class    string          `json:"service_tier"`
	Priority json.RawMessage `json:"priority"`
}

// bindChat checks a chat completion.
func (e *Entry) bindChat(ctx *fasthttp.RequestCtx, v *view, r *request) *APIError {
	body := append([]byte(nil), ctx.PostBody()...)
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return bindFault(err)
	}
	if chat.Model == "" {
		return invalid("model", "model must not be empty")
	}
	if len(chat.Messages) == 0 || chat.Messages[0] != '[' || string(chat.Messages) == "[]" {
		return invalid("messages", "messages must be a list with at least one message")
	}
	if chat.Priority != nil {
		return invalid("priority", "priority is set by the class; name a class in service_tier")
	}
	class, fault := v.classify(r.member, "service_tier", chat.Class)
	if fault != nil {
		return fault
	}
	r.class = class
	r.want = route.Requirements{Model: chat.Model, Tier: class.Tier, Centre: e.settings.Centre, PrefixHash: prefixOf(chat)}
	if !e.table.Serves(r.want) {
		return &APIError{Status: fasthttp.StatusNotFound, Code: "model", Message: "no upstream serves model " + chat.Model, Param: "model", Execution: ExecutionNone}
	}
	r.job = &wire.Job{
		Model:  chat.Model,
		Method: fasthttp.MethodPost,
		Path:   pathChat,
		Type:   "application/json",
		Body:   body,
		Stream: chat.Stream,
	}
	return nil
}

func bindFault(err error) *APIError {
	if typed, ok := err.(*json.UnmarshalTypeError); ok && typed.Field != "" {
		return invalid(typed.Field, typed.Field+" has the wrong type: "+typed.Value)
	}
	return invalid("body", "the body is not a JSON object: "+err.Error())
}

func prefixOf(chat chatBody) uint64 {
	start := chat.Messages[:min(prefixLength, len(chat.Messages))]
	return xxhash.Sum64String(chat.Model + string(start))
}

// bindService checks a call to a plain service.
func (e *Entry) bindService(ctx *fasthttp.RequestCtx, v *view, r *request) *APIError {
	name, path, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), pathServices), "/")
	path = "/" + path
	service, ok := v.services[name]
	if !ok {
		return &APIError{Status: fasthttp.StatusNotFound, Code: "service", Message: "there is no service " + name, Execution: ExecutionNone}
	}
	class, fault := v.classify(r.member, headerClass, string(ctx.Request.Header.Peek(headerClass)))
	if fault != nil {
		return fault
	}
	r.class = class
	r.want = route.Requirements{Service: name, Tier: class.Tier, Centre: e.settings.Centre}
	method := string(ctx.Method())
	key := string(ctx.Request.Header.Peek(headerKey))
	once := service.IsOnce(method, path)
	if once && key == "" {
		return invalid(headerKey, "this call runs at most once and needs the header "+headerKey)
	}
	if len(key) > maxKey {
		return invalid(headerKey, "the key is longer than 255 bytes")
	}
	if query := string(ctx.URI().QueryString()); query != "" {
		path += "?" + query
	}
	r.job = &wire.Job{
		Service: name,
		Method:  method,
		Path:    path,
		Type:    string(ctx.Request.Header.ContentType()),
		Body:    append([]byte(nil), ctx.PostBody()...),
		Key:     key,
		Once:    once || key != "",
	}
	return nil
}

// fill sets the fields that all jobs share.
func (r *request) fill(entry string) {
	j := r.job
	j.Id = r.id
	j.Entry = entry
	j.Partner = r.member.partner
	j.Team = r.member.team.Name
	j.Class = r.class.Name
	j.Print = fingerprint(j)
}

// fingerprint identifies a request's content, so that a resend is recognised.
func fingerprint(j *wire.Job) uint64 {
	h := xxhash.New()
	for _, part := range []string{j.Partner, j.Model, j.Service, j.Method, j.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(j.Body)
	return h.Sum64()
}

// left returns the queue time that remains, milliseconds.
func (r *request) left(now time.Time) int64 {
	return (r.class.Wait - now.Sub(r.arrived)).Milliseconds()
}
