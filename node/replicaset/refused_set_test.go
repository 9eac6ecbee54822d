package replicaset

import (
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// TestValueIsNotTakenForSetAfterRefusal guards against a SET that the member refuses after a copy of
// the answer to an earlier one: the caller's write ran with other session values, and was reported
// as not run, since the refusal was taken for the answer to it.
func TestValueIsNotTakenForSetAfterRefusal(t *testing.T) {
	var mu sync.Mutex
	sets, value, wrong, runs := 0, "", 0, map[string]int{}
	_, s, m := newScriptedMember(t, func(_ int, text string) string {
		mu.Lock()
		defer mu.Unlock()
		switch word, rest, _ := strings.Cut(text, " "); word {
		case "SET":
			if sets++; sets == 2 {
				return rollbackAnswer + "ERROR BUSY p\r\nREADY I 1.1\r\n"
			}
			_, value, _ = strings.Cut(rest, " ")
			return rollbackAnswer
		case "STORE":
			if rest != "x "+value {
				wrong++
			}
			runs[rest]++
			return "COMPLETE sig-" + strconv.Itoa(sets) + "\r\nREADY I 1.1\r\n"
		}
		return rollbackAnswer
	})
	for _, zone := range []string{"a", "b"} {
		j := scriptedJob(JobWrite, "STORE x "+zone)
		j.Request.Values = map[string]string{"zone": zone}
		res := runScripted(t, s, m, j)
		mu.Lock()
		if runs["x "+zone] > 0 {
			assert.NotEqual(t, statement.Busy, res.Answer.Code, "a promise that the write did not run")
		}
		mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	require.Zero(t, wrong, "writes that ran with other session values")
}
