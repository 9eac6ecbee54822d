package token_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/token"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func randomToken(t *rapid.T) token.Token {
	var tok token.Token
	for i := range rapid.IntRange(0, token.MaxServices).Draw(t, "services") {
		next, err := tok.Advance(fmt.Sprintf("service-%d", i), logpos.Position{
			Term: logpos.Term(rapid.Uint64().Draw(t, "term")), Offset: logpos.Offset(rapid.Uint64().Draw(t, "offset")),
		})
		require.NoError(t, err)
		tok = next
	}
	return tok
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tok := randomToken(t)
		text := tok.Encode()
		require.LessOrEqual(t, len(text), token.MaxEncodedBytes)
		decoded, err := token.Decode(text)
		require.NoError(t, err)
		require.Equal(t, text, decoded.Encode())
	})
}

// TestDecodeDetectsCorruption changes one character of a token.
func TestDecodeDetectsCorruption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := randomToken(t).Encode()
		i := rapid.IntRange(0, len(text)-1).Draw(t, "index")
		c := rapid.SampledFrom([]byte("ABCxyz019-_")).Draw(t, "character")
		if text[i] == c {
			return
		}
		_, err := token.Decode(text[:i] + string(c) + text[i+1:])
		require.Error(t, err)
	})
}

func TestAdvanceIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tok token.Token
		var newest logpos.Position
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			p := logpos.Position{
				Term: logpos.Term(rapid.IntRange(1, 3).Draw(t, "term")), Offset: logpos.Offset(rapid.IntRange(1, 50).Draw(t, "offset")),
			}
			if newest.Less(p) {
				newest = p
			}
			next, err := tok.Advance("s", p)
			require.NoError(t, err)
			tok = next
		}
		got, _ := tok.Position("s")
		require.Equal(t, newest, got)
	})
}

func TestLimits(t *testing.T) {
	var tok token.Token
	for i := range token.MaxServices {
		next, err := tok.Advance(fmt.Sprintf("s%d", i), logpos.Position{Term: 1, Offset: 1})
		require.NoError(t, err)
		tok = next
	}
	var limitErr *token.LimitError
	_, err := tok.Advance("one-more", logpos.Position{Term: 1, Offset: 1})
	require.ErrorAs(t, err, &limitErr)
	var decodeErr *token.DecodeError
	_, err = token.Decode(strings.Repeat("A", token.MaxEncodedBytes+1))
	require.ErrorAs(t, err, &decodeErr)
}

// FuzzDecode checks that Decode does not panic and accepts only texts that Encode
// produces.
func FuzzDecode(f *testing.F) {
	var tok token.Token
	tok, _ = tok.Advance("agenda-db-1", logpos.Position{Term: 3, Offset: 99})
	f.Add(tok.Encode())
	f.Add("")
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := token.Decode(text)
		if err == nil && text != "" && got.Encode() != text {
			t.Fatalf("%q decodes to a token that encodes to %q", text, got.Encode())
		}
	})
}
