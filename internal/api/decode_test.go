package api_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/api"
)

// TestCheckCall guards against calls with missing or out-of-range fields that pass
// validation.
func TestCheckCall(t *testing.T) {
	tests := []struct {
		name  string
		body  string
		valid bool
	}{
		{"required fields only", `{"id":"1","service":"s"}`, true},
		{"missing id", `{"service":"s"}`, false},
		{"missing service", `{"id":"1"}`, false},
		{"negative turn", `{"id":"1","service":"s","turn":-1}`, false},
		{"too many tokens", `{"id":"1","service":"s","max_tokens":100000000}`, false},
		{"timeout too long", `{"id":"1","service":"s","timeout_ms":999999999}`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var request api.CallRequest
			is.True(api.Decode([]byte(test.body), &request) == nil)
			is.Equal(request.Check() == nil, test.valid)
		})
	}
}

// FuzzDecodeCall guards against request bodies that crash the decoder or the validation.
func FuzzDecodeCall(f *testing.F) {
	f.Add([]byte(`{"id":"1","service":"s","input":"x","stream":true}`))
	f.Add([]byte(`{"id":"1"}{"id":"2"}`))
	f.Add([]byte(`[1,2`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var request api.CallRequest
		if api.Decode(data, &request) == nil {
			request.Check()
		}
	})
}
