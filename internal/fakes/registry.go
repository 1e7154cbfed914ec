package fakes

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// NewRegistry starts an endpoint registry; each report goes to the channel as "path body", then how answers it.
func NewRegistry(t testing.TB, how http.HandlerFunc) (address string, reports chan string) {
	reports = make(chan string, 1000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		select {
		case reports <- fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body):
		default: // nobody takes them: it must not turn into an endpoint registry that never answers, and never ends
		}
		how(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), reports
}
