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
	// prefixHashBytes is how much of the messages is hashed into PrefixHash.
	prefixHashBytes = 1 << 10
	maxKeyBytes     = 255 // Bound of an idempotency key.
)

// request is a caller's request, parsed and validated. Nothing in it points into
// fasthttp's buffers, which are reused.
type request struct {
	id           string
	owner        keyOwner
	class        config.Class
	job          *wire.Job
	requirements route.Requirements
	arrivedAt    time.Time
	// sent means that an agent received the request.
	sent bool
	// openRecorded means that the request is counted as in progress.
	openRecorded bool
	// outcomeRecorded prevents counting a request twice.
	outcomeRecorded bool
	// tokens and wastedTokens are sums over all attempts.
	tokens       int64
	wastedTokens int64
}

// chatRequest holds the fields of a chat completion that routing needs.
type chatRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Class    string          `json:"service_tier"`
	Priority json.RawMessage `json:"priority"`
}

// parseChat parses and validates a chat completion request.
func (e *Entry) parseChat(ctx *fasthttp.RequestCtx, idx *configIndex, r *request) *APIError {
	body := append([]byte(nil), ctx.PostBody()...)
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return decodeError(err)
	}
	if chat.Model == "" {
		return invalidRequest("model", "model must not be empty")
	}
	if len(chat.Messages) == 0 || chat.Messages[0] != '[' || string(chat.Messages) == "[]" {
		return invalidRequest("messages", "messages must be a list with at least one message")
	}
	if chat.Priority != nil {
		return invalidRequest("priority", "priority is set by the class; name a class in service_tier")
	}
	class, apiErr := idx.classify(r.owner, "service_tier", chat.Class)
	if apiErr != nil {
		return apiErr
	}
	r.class = class
	r.requirements = route.Requirements{Model: chat.Model, Tier: class.Tier, Centre: e.settings.Centre, PrefixHash: prefixHash(chat)}
	if !e.table.Serves(r.requirements) {
		if !e.agentConns.allReached() {
			return refusalError("") // An agent that has not answered yet may serve it.
		}
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

func decodeError(err error) *APIError {
	if typeErr, ok := err.(*json.UnmarshalTypeError); ok && typeErr.Field != "" {
		return invalidRequest(typeErr.Field, typeErr.Field+" has the wrong type: "+typeErr.Value)
	}
	return invalidRequest("body", "the body is not a JSON object: "+err.Error())
}

func prefixHash(chat chatRequest) uint64 {
	start := chat.Messages[:min(prefixHashBytes, len(chat.Messages))]
	return xxhash.Sum64String(chat.Model + string(start))
}

// parseServiceCall parses and validates a call to a plain service.
func (e *Entry) parseServiceCall(ctx *fasthttp.RequestCtx, idx *configIndex, r *request) *APIError {
	name, path, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), pathServices), "/")
	path = "/" + path
	service, ok := idx.services[name]
	if !ok {
		return &APIError{Status: fasthttp.StatusNotFound, Code: "service", Message: "there is no service " + name, Execution: ExecutionNone, absent: true}
	}
	class, apiErr := idx.classify(r.owner, headerClass, string(ctx.Request.Header.Peek(headerClass)))
	if apiErr != nil {
		return apiErr
	}
	r.class = class
	r.requirements = route.Requirements{Service: name, Tier: class.Tier, Centre: e.settings.Centre}
	method := string(ctx.Method())
	key := string(ctx.Request.Header.Peek(headerIdempotencyKey))
	once := service.IsOnce(method, path)
	if once && key == "" {
		return invalidRequest(headerIdempotencyKey, "this call runs at most once and needs the header "+headerIdempotencyKey)
	}
	if len(key) > maxKeyBytes {
		return invalidRequest(headerIdempotencyKey, "the key is longer than 255 bytes")
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

// fillJob sets the fields that all jobs have in common.
func (r *request) fillJob(entry string) {
	j := r.job
	j.Id = r.id
	j.Entry = entry
	j.Partner = r.owner.partner
	j.Team = r.owner.team.Name
	j.Class = r.class.Name
	j.Print = fingerprint(j)
}

// fingerprint hashes a request's content, so that a retry is recognised.
func fingerprint(j *wire.Job) uint64 {
	h := xxhash.New()
	for _, field := range []string{j.Partner, j.Model, j.Service, j.Method, j.Path} {
		_, _ = h.WriteString(field)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(j.Body)
	return h.Sum64()
}

// remainingQueueTime returns the rest of the class's queue time, milliseconds;
// it is at most 0 once that time has passed.
func (r *request) remainingQueueTime(now time.Time) int64 {
	return (r.class.Wait - now.Sub(r.arrivedAt)).Milliseconds()
}
