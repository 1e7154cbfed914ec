package fakes

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// NewRegistry starts an endpoint registry until the end of the test. It sends each load report to the channel as
// "METHOD PATH BODY", and handler answers it.
func NewRegistry(t testing.TB, handler http.HandlerFunc) (address string, reports chan string) {
	reports = make(chan string, 1000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		select {
		case reports <- fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body):
		default: // a channel that no test reads must not block answers and the end of the server
		}
		handler(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), reports
}
