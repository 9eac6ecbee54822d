package host_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/token"
)

func asError[T any](err error, target *T) bool { return errors.As(err, target) }

// forgedToken returns a valid token with a position far ahead of the log.
func forgedToken(t *testing.T) string {
	t.Helper()
	tok, err := token.Token{}.Advance(testService, logpos.Position{Term: 1, Offset: 1 << 40})
	require.NoError(t, err)
	return tok.Encode()
}
