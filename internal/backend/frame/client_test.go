package frame

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// An invocation and an answer are decoded as they were encoded, and a truncated frame is reported as incomplete.
func TestInvocationAndAnswerRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawInvocation(t)
		text := AppendInvocation(nil, 7, &sent)
		for n := range len(text) {
			if _, _, size, err := SplitFrame(text[:n], maxLength); size != 0 || err != nil {
				t.Fatalf("truncated after %d bytes: size %d, %v; want 0, no error", n, size, err)
			}
		}
		h, payload, size, err := SplitFrame(append(text, "more"...), maxLength)
		if err != nil || size != len(text) || h.Kind != KindInvocation || h.Stream != 7 {
			t.Fatalf("%+v, %d bytes of %d, %v", h, size, len(text), err)
		}
		received, err := ReadInvocation(payload, 2<<10)
		if err != nil {
			t.Fatal(err)
		}
		if !sameInvocation(&sent, &received) {
			t.Fatalf("wrote %+v, read %+v", sent, received)
		}
		checkAnswerRoundTrip(t, sent.Body)
	})
}

// drawInvocation draws a random valid invocation.
func drawInvocation(t *rapid.T) OutgoingInvocation {
	return OutgoingInvocation{
		Operation:     rapid.StringMatching(`[a-z-]{1,20}`).Draw(t, "operation"),
		ID:            rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "id"),
		Tenant:        rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "tenant"),
		ArrivedAt:     rapid.Int64Range(0, 3e13).Draw(t, "arrived at"),
		CallerTimeout: monotime.Micros(rapid.Int64Range(0, 1e9).Draw(t, "timeout")),
		Retry:         rapid.Bool().Draw(t, "retry"),
		ExpectedWork:  monotime.Micros(rapid.Int64Range(0, 1e9).Draw(t, "work")),
		MemoryKB:      20,
		Priority:      0.25,
		Body:          rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "body"),
	}
}

// sameInvocation reports whether the decoded invocation equals the sent one.
func sameInvocation(sent *OutgoingInvocation, received *Invocation) bool {
	return string(received.Operation) == sent.Operation &&
		string(received.ID) == sent.ID &&
		string(received.Tenant) == sent.Tenant &&
		received.ArrivedAt == monotime.Micros(sent.ArrivedAt)*monotime.Millisecond &&
		received.CallerTimeout == sent.CallerTimeout &&
		received.Retry == sent.Retry &&
		received.ExpectedWork == sent.ExpectedWork &&
		received.MemoryKB == sent.MemoryKB &&
		received.Priority == sent.Priority &&
		bytes.Equal(received.Body, sent.Body)
}

// checkAnswerRoundTrip encodes a random answer with the given body, and checks that it is decoded unchanged.
func checkAnswerRoundTrip(t *rapid.T, body []byte) {
	retryAfter := monotime.Micros(rapid.Int64Range(0, 1e6).Draw(t, "retry after")) * monotime.Millisecond
	dontRetry := rapid.Bool().Draw(t, "don't retry")
	_, payload, _, err := SplitFrame(AppendAnswer(nil, 7, Throttled, retryAfter, dontRetry, body), maxLength)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := ReadAnswer(payload)
	if err != nil || answer.Code != Throttled || answer.RetryAfter != retryAfter || answer.DontRetry != dontRetry ||
		!bytes.Equal(answer.Body, body) {
		t.Fatalf("%+v, %v", answer, err)
	}
}

// A Retry-After that is not a duration in milliseconds is rejected.
func TestInvalidRetryAfterIsRefused(t *testing.T) {
	for _, test := range []struct {
		name  string
		value string
		want  error
	}{
		{"text", "soon", ErrNotNumber},
		{"empty", "", ErrNotNumber},
		{"negative", "-1", ErrOutOfRange},
		{"beyond 32 bits", "2147483648", ErrNotNumber},
	} {
		t.Run(test.name, func(t *testing.T) {
			payload := []byte(string(byte(Throttled)) + fakes.EncodeFields("after="+test.value))
			_, err := ReadAnswer(payload)
			var field *FieldError
			if !errors.As(err, &field) || field.Field != "after" || !errors.Is(err, test.want) {
				t.Errorf("%v, want field after, %v", err, test.want)
			}
		})
	}
}

// ReadAnswer does not panic on any payload, and the body of an answer is never longer than its payload.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte{1, 0})
	f.Add([]byte{2, 1, 5, 'a', 'f', 't', 'e', 'r', 0, 1, 'x'})
	f.Fuzz(func(t *testing.T, payload []byte) {
		if answer, err := ReadAnswer(payload); err == nil && len(answer.Body) > len(payload) {
			t.Error("the body is longer than the payload")
		}
	})
}
