package entry

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"
)

// Execution says whether a request was executed, as reported to callers.
type Execution string

// Values of Execution.
const (
	ExecutionNone  Execution = "none"
	ExecutionDone  Execution = "done"
	ExecutionMaybe Execution = "maybe"
)

// APIError is an error response to a caller, in the JSON format of the OpenAI API.
type APIError struct {
	Status int
	// Code is a fixed identifier of the error, for programs.
	Code    string
	Message string
	// Param is the invalid field or header; empty means none.
	Param     string
	Execution Execution
	// RetryAfter is the time after which a retry may succeed, seconds; 0 means that
	// none will.
	RetryAfter int
	// absent is set if the document in force lacks what the request names; a newer one may have it.
	absent bool
}

// Headers of callers' requests and of responses to them.
const (
	headerRequestID      = "X-Request-Id"
	headerExecution      = "X-Run"
	headerReplayed       = "X-Kept"
	headerIdempotencyKey = "Idempotency-Key"
	headerClass          = "X-Class"
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

// encode returns the error as JSON, extended by the execution and the request's id.
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
	data, _ := json.Marshal(map[string]detail{"error": d}) // Encoding strings cannot fail.
	return data
}

// write answers a caller with the error.
func (e *APIError) write(ctx *fasthttp.RequestCtx, id string) {
	ctx.SetStatusCode(e.Status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerRequestID, id)
	ctx.Response.Header.Set(headerExecution, string(e.Execution))
	if e.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(e.RetryAfter))
	}
	ctx.SetBody(e.encode(id))
}

// asAbsent marks the error as one for something that the document in force lacks.
func (e *APIError) asAbsent() *APIError {
	e.absent = true
	return e
}

func unconfirmedError() *APIError {
	return &APIError{
		Status:     fasthttp.StatusServiceUnavailable,
		Code:       "unconfirmed",
		Message:    "the configuration may be out of date",
		Execution:  ExecutionNone,
		RetryAfter: shortRetryAfter,
	}
}

func invalidRequest(param, message string) *APIError {
	return &APIError{Status: fasthttp.StatusBadRequest, Code: "invalid", Message: message, Param: param, Execution: ExecutionNone}
}
