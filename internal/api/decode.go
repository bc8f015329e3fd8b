package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/gin-gonic/gin"

	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// maxWithdrawalDelay is the longest time until a withdrawn key stops working on a host
// that can receive the withdrawal.
const maxWithdrawalDelay = 5 * time.Second

// readBody reads a request body, which must be valid UTF-8 and within the size limit.
func (server *Server) readBody(ctx *gin.Context) ([]byte, *refusal.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(ctx.Writer, ctx.Request.Body, server.settings.MaxBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, refusal.New(refusal.TooLarge, "the body is over the limit of %d bytes", tooLarge.Limit)
		}
		return nil, refusal.New(refusal.BadRequest, "the body was not received: %v", err)
	}
	if !utf8.Valid(body) {
		return nil, refusal.New(refusal.BadRequest, "the body is not valid UTF-8")
	}
	return body, nil
}

// Decode decodes a body that consists of exactly one JSON document. It refuses unknown
// fields.
func Decode(body []byte, target any) *refusal.Refusal {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return refusal.New(refusal.BadRequest, "the body is not the expected JSON: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return refusal.New(refusal.BadRequest, "the body holds more than one JSON document")
	}
	return nil
}

// checkable is a request body that can validate its values.
type checkable interface{ Check() *refusal.Refusal }

// readRequest reads, decodes and validates a request body. If allowEmpty is set, an
// empty body leaves the request unchanged.
func (server *Server) readRequest(ctx *gin.Context, request checkable, allowEmpty bool) *refusal.Refusal {
	body, refused := server.readBody(ctx)
	if refused != nil {
		return refused
	}
	if len(body) > 0 || !allowEmpty {
		if refused := Decode(body, request); refused != nil {
			return refused
		}
	}
	return request.Check()
}

// containsSecret reports whether a text contains the caller's key or any other key.
func containsSecret(text string, session *session) bool {
	if session != nil && session.secret != "" && strings.Contains(text, session.secret) {
		return true
	}
	return strings.Contains(text, key.Prefix)
}

// OpenRequest is the body of a request to start a program.
type OpenRequest struct {
	Parent string     `json:"parent,omitempty"`
	Budget int64      `json:"budget,omitempty"`
	Limits OpenLimits `json:"limits"`
}

// OpenLimits lowers the limits of the workspace for one program. Zero keeps a limit.
type OpenLimits struct {
	Turns      int   `json:"turns,omitempty"`
	TimeMillis int64 `json:"time_ms,omitempty"`
	IdleMillis int64 `json:"idle_ms,omitempty"`
}

// Check returns a refusal for the first invalid value.
func (request OpenRequest) Check() *refusal.Refusal {
	switch {
	case request.Budget < 0:
		return refusal.New(refusal.BadRequest, "budget %d is below zero", request.Budget)
	case request.Limits.Turns < 0 || request.Limits.TimeMillis < 0 || request.Limits.IdleMillis < 0:
		return refusal.New(refusal.BadRequest, "a limit is below zero")
	case request.Parent != "" && request.Budget != 0:
		return refusal.New(refusal.BadRequest, "a sub-agent shares its parent's budget and has none of its own")
	}
	return nil
}

// CallRequest is the body of a request to run a call of a program.
type CallRequest struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Turn          int    `json:"turn,omitempty"`
	Input         string `json:"input"`
	MaxTokens     int64  `json:"max_tokens,omitempty"`
	TimeoutMillis int64  `json:"timeout_ms,omitempty"`
	Stream        bool   `json:"stream,omitempty"`
}

const (
	maxCallIDBytes   = 128
	maxCallTimeout   = time.Hour
	maxCallTokens    = 1_000_000
	defaultMaxTokens = 1024
)

// Check returns a refusal for the first invalid value.
func (request CallRequest) Check() *refusal.Refusal {
	switch {
	case request.ID == "" || len(request.ID) > maxCallIDBytes:
		return refusal.New(refusal.BadRequest, "id has %d bytes, expected 1 to %d", len(request.ID), maxCallIDBytes)
	case request.Service == "":
		return refusal.New(refusal.BadRequest, "service is missing")
	case request.Turn < 0:
		return refusal.New(refusal.BadRequest, "turn %d is below zero", request.Turn)
	case request.MaxTokens < 0 || request.MaxTokens > maxCallTokens:
		return refusal.New(refusal.BadRequest, "max_tokens %d is outside 0 to %d", request.MaxTokens, maxCallTokens)
	case request.TimeoutMillis < 0 || request.TimeoutMillis > maxCallTimeout.Milliseconds():
		return refusal.New(refusal.BadRequest, "timeout_ms %d is outside 0 to %d", request.TimeoutMillis, maxCallTimeout.Milliseconds())
	}
	return nil
}
