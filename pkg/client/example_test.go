package client_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/godwitspread/godwitspread/pkg/client"
)

// startHost starts a server that responds like an entry host.
func startHost() *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/programs", func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, `{"program":"bkk-a.7.example"}`)
	})
	mux.HandleFunc("POST /v1/programs/{program}/calls", func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, "event: delta\ndata: {\"text\":\"The pump \"}\n\n")
		fmt.Fprint(writer, "event: delta\ndata: {\"text\":\"is repaired.\"}\n\n")
		fmt.Fprint(writer, "event: done\ndata: {\"call\":\"1\",\"turn\":1,\"output\":\"The pump is repaired.\",\"result\":\"ran\"}\n\n")
	})
	mux.HandleFunc("POST /v1/services/{service}", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(writer, `{"error":{"code":"rate_exceeded","message":"over its rate","run":"not_run","retry_after_ms":1000}}`)
	})
	return httptest.NewServer(mux)
}

func ExampleClient_Do() {
	server := startHost()
	defer server.Close()
	ctx := context.Background()
	caller := client.New("gsk_example", server.URL)
	program, err := caller.Open(ctx, client.OpenOptions{Budget: 20_000})
	if err != nil {
		fmt.Println(err)
		return
	}
	answer, err := caller.Do(ctx, program, client.Call{
		ID: "1", Service: "draft", Input: "Summarise the repair.",
		Each: func(text string) { fmt.Printf("%q ", text) },
	})
	fmt.Println(answer.Turn, answer.Output, err)
	// Output: "The pump " "is repaired." 1 The pump is repaired. <nil>
}

func ExampleError() {
	server := startHost()
	defer server.Close()
	_, err := client.New("gsk_example", server.URL).Service(context.Background(), "filing", "resolution-7", nil)
	var refused *client.Error
	if errors.As(err, &refused) {
		fmt.Println(refused.Code, refused.Run, refused.RetryAfterMillis)
	}
	// Output: rate_exceeded not_run 1000
}
