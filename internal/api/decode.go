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

// configurationBound is the time within which a withdrawn key stops working
// on hosts that can hear of it.
const configurationBound = 5 * time.Second

// readBody reads a request body within its limit.
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

// Decode reads one JSON document strictly: no unknown fields, nothing after
// it.
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

// checked is a request body that can check its values.
type checked interface{ Check() *refusal.Refusal }

// readRequest reads, decodes and checks a request body. An empty body leaves
// the request as it is if that is allowed.
func (server *Server) readRequest(ctx *gin.Context, request checked, mayBeEmpty bool) *refusal.Refusal {
	body, refused := server.readBody(ctx)
	if refused != nil {
		return refused
	}
	if len(body) > 0 || !mayBeEmpty {
		if refused := Decode(body, request); refused != nil {
			return refused
		}
	}
	return request.Check()
}

// secretIn reports whether a text repeats the caller's key or any other.
func secretIn(text string, session *session) bool {
	if session != nil && session.secret != "" && strings.Contains(text, session.secret) {
		return true
	}
	return strings.Contains(text, key.Prefix)
}

// OpenRequest asks for a new program.
type OpenRequest struct {
	Parent string     `json:"parent,omitempty"`
	Budget int64      `json:"budget,omitempty"`
	Limits OpenLimits `json:"limits"`
}

// OpenLimits narrows the limits of the workspace.
type OpenLimits struct {
	Turns      int   `json:"turns,omitempty"`
	TimeMillis int64 `json:"time_ms,omitempty"`
	IdleMillis int64 `json:"idle_ms,omitempty"`
}

// Check reports the first bad value.
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

// CallRequest asks for a call of a program.
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
	maxCallID        = 128
	maxCallTime      = time.Hour
	maxCallTokens    = 1_000_000
	defaultMaxTokens = 1024
)

// Check reports the first bad value.
func (request CallRequest) Check() *refusal.Refusal {
	switch {
	case request.ID == "" || len(request.ID) > maxCallID:
		return refusal.New(refusal.BadRequest, "id has %d bytes, expected 1 to %d", len(request.ID), maxCallID)
	case request.Service == "":
		return refusal.New(refusal.BadRequest, "service is missing")
	case request.Turn < 0:
		return refusal.New(refusal.BadRequest, "turn %d is below zero", request.Turn)
	case request.MaxTokens < 0 || request.MaxTokens > maxCallTokens:
		return refusal.New(refusal.BadRequest, "max_tokens %d is outside 0 to %d", request.MaxTokens, maxCallTokens)
	case request.TimeoutMillis < 0 || request.TimeoutMillis > maxCallTime.Milliseconds():
		return refusal.New(refusal.BadRequest, "timeout_ms %d is outside 0 to %d", request.TimeoutMillis, maxCallTime.Milliseconds())
	}
	return nil
}
