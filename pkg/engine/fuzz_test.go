package engine

import (
	"bytes"
	"errors"
	"testing"
)

func FuzzReadSteps(f *testing.F) {
	f.Add([]byte("{\"imported\":true}\n{\"token\":{\"offset\":0,\"text\":\"a\"}}\n{\"token\":{\"offset\":1,\"text\":\"b\",\"final\":true}}\n"))
	f.Add([]byte("{\"error\":{\"code\":\"gone\"}}\n"))
	f.Add([]byte("{\"token\":"))
	f.Fuzz(func(t *testing.T, data []byte) {
		final := false
		err := ReadSteps(bytes.NewReader(data), func() {}, func(tok Token) error {
			if final {
				t.Fatal("a token came after the final one")
			}
			final = tok.Final
			return nil
		})
		var stream *errStream
		var refused *ErrEngine
		if err != nil && !errors.As(err, &stream) && !errors.As(err, &refused) {
			t.Fatalf("untyped error %T", err)
		}
		if err == nil && !final {
			t.Fatal("a stream without its final token was accepted as complete")
		}
	})
}
