package entry

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"
)

// Execution says whether a request was executed, as told to callers.
type Execution string

// Values of Run.
const (
	ExecutionNone  Execution = "none"
	ExecutionDone  Execution = "done"
	ExecutionMaybe Execution = "maybe"
)

// APIError is an error answer to a caller, in the published JSON form.
type APIError struct {
	Status int
	// Code is a fixed word for programs.
	Code    string
	Message string
	// Param names the faulty field.
	Param     string
	Execution Execution
	// RetryAfter is when a resend may help, seconds; 0 means not at all.
	RetryAfter int
}

// Headers of answers to callers.
const (
	headerRequest = "X-Request-Id"
	headerRun     = "X-Run"
	headerKept    = "X-Kept"
	headerKey     = "Idempotency-Key"
	headerClass   = "X-Class"
)

func errorType(status int) string {
	switch {
	case status == fasthttp.StatusUnauthorized:
		return "authentication_error"
	case status == fasthttp.StatusTooManyRequests:
		return "rate_limit_error"
	case status < fasthttp.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// encode encodes the fault in the published form, with the run and the id added.
func (e *APIError) encode(id string) []byte {
	type detail struct {
		Message   string    `json:"message"`
		Type      string    `json:"type"`
		Param     *string   `json:"param"`
		Code      string    `json:"code"`
		Execution Execution `json:"run"`
		Request   string    `json:"request"`
	}
	d := detail{Message: e.Message, Type: errorType(e.Status), Code: e.Code, Execution: e.Execution, Request: id}
	if e.Param != "" {
		d.Param = &e.Param
	}
	data, _ := json.Marshal(map[string]detail{"error": d}) // Strings always encode.
	return data
}

// write answers a caller with the fault.
func (e *APIError) write(ctx *fasthttp.RequestCtx, id string) {
	ctx.SetStatusCode(e.Status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerRequest, id)
	ctx.Response.Header.Set(headerRun, string(e.Execution))
	if e.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(e.RetryAfter))
	}
	ctx.SetBody(e.encode(id))
}

func invalidRequest(param, message string) *APIError {
	return &APIError{Status: fasthttp.StatusBadRequest, Code: "invalid", Message: message, Param: param, Execution: ExecutionNone}
}
