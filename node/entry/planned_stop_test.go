package entry_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
)

// stoppedCaller runs transactions while its host stops.
type stoppedCaller struct {
	session *linecaller.Session
	name    string
	// unanswered is the ID of the request whose connection ended without an answer; empty
	// without one.
	unanswered string
	// refused are the IDs of statements that were refused with a promise, committed those
	// of writes whose commit was acknowledged.
	refused, committed []string
}

// run begins a transaction after a delay, with pauses between its statements, and another
// one when it has ended.
func (c *stoppedCaller) run(delay, firstPause, maxPause time.Duration) {
	time.Sleep(delay)
	for {
		var writes []string
		for n, text := range []string{"BEGIN", "STORE " + c.name + " x", "FETCH a", "FETCH b", "FETCH c", "COMMIT"} {
			a, err := c.session.Run(text)
			if err != nil {
				c.unanswered = a.ID
				return
			}
			switch {
			case n == 1:
				writes = append(writes, a.ID)
			case text == "COMMIT" && a.Code == "":
				c.committed = append(c.committed, writes...)
			}
			if a.Code != "" {
				if linecaller.NoEffect(a.Code) {
					c.refused = append(c.refused, writes...)
				}
				return
			}
			if n == 0 && firstPause > 0 {
				time.Sleep(firstPause)
			} else {
				time.Sleep(rand.N(maxPause))
			}
		}
	}
}

// TestPlannedStopAnswersWhatMembersRun guards against connections that a planned stop closes
// while a member runs a statement. Transactions begin at any moment, pause before their first
// statement, and have statements at work when others are ended.
func TestPlannedStopAnswersWhatMembersRun(t *testing.T) {
	for _, work := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(fmt.Sprint("statements of ", work), func(t *testing.T) {
			t.Parallel()
			const callers = 60
			o := options()
			o.Slots, o.MaxConnections, o.ServiceTime = 12, 2*callers, work
			d := deploy(t, 2, o)
			grace := d.settings[0].GracePeriod
			var all []*stoppedCaller
			for n := range callers {
				name := fmt.Sprint("caller", n)
				session, err := linecaller.Open(d.settings[0].CallerAddress, "strict", name, waitLimit)
				require.NoError(t, err)
				t.Cleanup(session.Close)
				all = append(all, &stoppedCaller{session: session, name: name})
			}
			var wg sync.WaitGroup
			stopped := make(chan time.Duration, 1)
			startedAt := time.Now()
			go func() {
				d.hosts[0].Stop()
				stopped <- time.Since(startedAt)
			}()
			for n, c := range all {
				pause := time.Duration(0)
				if n%2 == 1 {
					pause = rand.N(grace / 2)
				}
				wg.Go(func() { c.run(rand.N(grace*9/10), pause, grace/20) })
			}
			wg.Wait()
			require.Less(t, <-stopped, grace+grace/4)
			ran := map[string]string{}
			for _, run := range d.group.Executions() {
				ran[run.ID] = run.Text
			}
			served := 0
			for _, c := range all {
				text, passedOn := ran[c.unanswered]
				require.False(t, passedOn, "%s of %s was cut off after a member had got it", text, c.unanswered)
				for _, id := range c.committed {
					require.Equal(t, 1, d.group.CommitCount(id), id)
				}
				for _, id := range c.refused {
					require.Zero(t, d.group.CommitCount(id), id)
				}
				served += len(c.committed)
			}
			require.NotZero(t, served, "no transaction was served during the stop")
		})
	}
}

// TestStoppingHostServesUntilIdleSessionsClose guards against a host that refuses statements
// as soon as it is told to stop.
func TestStoppingHostServesUntilIdleSessionsClose(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, options())
	c := d.connect(0, "strict")
	grace := d.settings[0].GracePeriod
	stopped := make(chan bool, 1)
	startedAt := time.Now()
	go func() { stopped <- d.hosts[0].Stop() }()
	for time.Since(startedAt) < grace*3/10 {
		c.must("STORE item x")
		time.Sleep(grace / 50)
	}
	require.ErrorIs(t, c.session.AwaitClose(), io.EOF)
	require.True(t, <-stopped, "sessions were left")
	require.Less(t, time.Since(startedAt), grace*3/4, "nothing was left to wait for")
}
