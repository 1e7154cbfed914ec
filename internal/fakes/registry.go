package fakes

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// NewRegistry starts an endpoint registry. Each load report goes to the channel as "METHOD PATH BODY"; how answers it.
func NewRegistry(t testing.TB, how http.HandlerFunc) (address string, reports chan string) {
	reports = make(chan string, 1000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		select {
		case reports <- fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body):
		default: // nobody reads them: a full channel must not stop the registry from answering and closing
		}
		how(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), reports
}
