package replicaset

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWriteIsNotSentAfterRefusedBegin guards against a begin that the member refuses after a copy
// of the answer to an earlier one: the write that followed ran, and was kept, outside its
// transaction.
func TestWriteIsNotSentAfterRefusedBegin(t *testing.T) {
	var mu sync.Mutex
	begins, inTx, outside := 0, false, 0
	_, s, m := newScriptedMember(t, func(_ int, text string) string {
		mu.Lock()
		defer mu.Unlock()
		switch word, _, _ := strings.Cut(text, " "); word {
		case "BEGIN":
			if begins++; begins == 2 {
				// A copy comes before the refusal.
				return beginAnswer + "ERROR BUSY p\r\nREADY I 1.1\r\n"
			}
			inTx = true
			return beginAnswer
		case "STORE":
			if !inTx {
				outside++
			}
			return fmt.Sprintf("COMPLETE sig-%d\r\nREADY T 1.1\r\n", begins)
		}
		inTx = false
		return rollbackAnswer
	})
	for _, item := range []string{"a", "b"} {
		res := runScripted(t, s, m, scriptedJob(JobBegin, "BEGIN"))
		if res.Tx == 0 {
			continue
		}
		j := scriptedJob(JobStatement, "STORE "+item+" x")
		j.Tx = res.Tx
		s.continueTx(t.Context(), j)
		j.Kind = JobRollback
		s.continueTx(t.Context(), j)
		awaitIdle(t, m)
	}
	mu.Lock()
	defer mu.Unlock()
	require.Zero(t, outside, "writes that ran outside their transaction")
}
