package host_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

const insertReading = "INSERT INTO readings (subject, value) VALUES ($1, $2)"

// TestSessions runs the session features that callers use against one deployment.
func TestSessions(t *testing.T) {
	d := deploy(t, 3, nil)
	defer d.kill()
	t.Run("read your writes on any host", func(t *testing.T) { testReadYourWritesAcrossHosts(t, d) })
	t.Run("prepared statements", func(t *testing.T) { testPreparedStatements(t, d) })
	t.Run("transactions", func(t *testing.T) { testTransactions(t, d) })
	t.Run("idempotency keys", func(t *testing.T) { testIdempotencyKeys(t, d) })
	t.Run("refusals", func(t *testing.T) { testRefusals(t, d) })
	t.Run("session state", func(t *testing.T) { testSessionStateIsNotLeftOnPooledConnections(t, d) })
	t.Run("tokens", func(t *testing.T) { testTokens(t, d) })
	t.Run("cancel", func(t *testing.T) { testCancel(t, d) })
	t.Run("ended sessions leak no goroutines", func(t *testing.T) { testNoGoroutineLeak(t, d) })
	t.Run("stalled replication", func(t *testing.T) { testStalledReplication(t, d) })
	t.Run("query within a batch", func(t *testing.T) { testQueryWithinBatch(t, d) })
	t.Run("malformed messages", func(t *testing.T) { testMalformedMessages(t, d) })
}

func testReadYourWritesAcrossHosts(t *testing.T, d *deployment) {
	token := ""
	for i := range 9 {
		conn := d.connect(i%3, map[string]string{"dotterelswitch.token": token, "dotterelswitch.class": "lightcurve"})
		require.Len(t, values(t, conn, "roaming"), i)
		_, err := conn.Exec(t.Context(), insertReading, "roaming", uuid.NewString())
		require.NoError(t, err)
		token = conn.PgConn().ParameterStatus("dotterelswitch.token")
		require.NotEmpty(t, token)
	}
}

func testPreparedStatements(t *testing.T, d *deployment) {
	conn := d.connect(0, nil)
	_, err := conn.Prepare(t.Context(), "by_subject", "SELECT value FROM readings WHERE subject = $1")
	require.NoError(t, err)
	_, err = conn.Prepare(t.Context(), "add", insertReading)
	require.NoError(t, err)
	for i := range 5 {
		_, err = conn.Exec(t.Context(), "add", "prepared", uuid.NewString())
		require.NoError(t, err)
		rows, err := conn.Query(t.Context(), "by_subject", "prepared")
		require.NoError(t, err)
		got, err := pgx.CollectRows(rows, pgx.RowTo[string])
		require.NoError(t, err)
		require.Len(t, got, i+1)
	}
	var batch pgx.Batch
	for range 3 {
		batch.Queue("add", "batched", uuid.NewString())
	}
	require.NoError(t, conn.SendBatch(t.Context(), &batch).Close())
	require.Len(t, values(t, conn, "batched"), 3)
}

func testTransactions(t *testing.T, d *deployment) {
	conn := d.connect(1, nil)
	tx, err := conn.Begin(t.Context())
	require.NoError(t, err)
	_, err = tx.Exec(t.Context(), insertReading, "tx", "kept")
	require.NoError(t, err)
	require.Equal(t, []string{"kept"}, values(t, conn, "tx"), "a transaction sees its own writes")
	require.Empty(t, values(t, d.connect(2, nil), "tx"), "uncommitted rows are not visible to other sessions")
	require.NoError(t, tx.Commit(t.Context()))
	require.Equal(t, []string{"kept"}, values(t, d.connect(2, nil), "tx"))

	tx, err = conn.Begin(t.Context())
	require.NoError(t, err)
	_, err = tx.Exec(t.Context(), insertReading, "tx", "dropped")
	require.NoError(t, err)
	_, err = tx.Exec(t.Context(), "nonsense")
	requireSQLState(t, err, "42601")
	_, err = tx.Exec(t.Context(), insertReading, "tx", "dropped too")
	requireSQLState(t, err, "25P02")
	require.NoError(t, tx.Rollback(t.Context()))
	require.Equal(t, []string{"kept"}, values(t, conn, "tx"))
}

func testIdempotencyKeys(t *testing.T, d *deployment) {
	key, err := uuid.NewV7()
	require.NoError(t, err)
	hint := "/* dotterelswitch: key=" + key.String() + " */ "
	for i := range 6 {
		tag, err := d.connect(i%3, nil).Exec(t.Context(), hint+insertReading, "keyed", "once")
		require.NoError(t, err)
		require.Equal(t, "INSERT 0 1", tag.String())
	}
	conn := d.connect(0, nil)
	require.Equal(t, []string{"once"}, values(t, conn, "keyed"))
	_, err = conn.Exec(t.Context(), hint+insertReading, "keyed", "another request")
	requireSQLState(t, err, "23505")
	expiredKey := "01890000-0000-7000-8000-000000000000" // a UUIDv7 with a timestamp in June 2023
	_, err = conn.Exec(t.Context(), "/* dotterelswitch: key="+expiredKey+" */ "+insertReading, "keyed", "too late")
	requireSQLState(t, err, "22008")
	_, err = conn.Exec(t.Context(), "/* dotterelswitch: key=abc */ "+insertReading, "keyed", "no key")
	requireSQLState(t, err, "08P01")
	require.Equal(t, []string{"once"}, values(t, conn, "keyed"))
}

func testRefusals(t *testing.T, d *deployment) {
	conn := d.connect(0, nil)
	for _, sql := range []string{"LISTEN a", "CREATE TEMP TABLE a (b int)", "SELECT pg_advisory_lock(1)", "COPY readings FROM STDIN", "SET search_path = x"} {
		_, err := conn.Exec(t.Context(), sql)
		requireSQLState(t, err, "0A000")
	}
	_, err := conn.Exec(t.Context(), "SET dotterelswitch.class = 'nonesuch'")
	requireSQLState(t, err, "08P01")
	_, err = conn.Exec(t.Context(), "SET statement_timeout = 'soon'")
	requireSQLState(t, err, "08P01")
	var team string
	require.NoError(t, conn.QueryRow(t.Context(), "SHOW dotterelswitch.team", pgx.QueryExecModeSimpleProtocol).Scan(&team))
	require.Equal(t, "schools", team)
	cfg := conn.Config().Copy()
	cfg.Database = "nonesuch"
	_, err = pgx.ConnectConfig(t.Context(), cfg)
	requireSQLState(t, err, "3D000")
}

// testSessionStateIsNotLeftOnPooledConnections guards against settings, listeners and
// locks of one caller that the next caller of the connection finds.
func testSessionStateIsNotLeftOnPooledConnections(t *testing.T, d *deployment) {
	conn := d.connect(0, nil)
	for _, sql := range []string{"SELECT value FROM readings WHERE subject = 'x'; LISTEN a", "SELECT value FROM readings WHERE subject = 'x'; SET search_path = x"} {
		_, err := conn.Exec(t.Context(), sql)
		requireSQLState(t, err, "0A000")
	}
	tx, err := conn.Begin(t.Context())
	require.NoError(t, err)
	for _, sql := range []string{"LISTEN a", "SET search_path = 'x'", "PREPARE a AS SELECT 1"} {
		_, err = tx.Exec(t.Context(), sql)
		requireSQLState(t, err, "0A000")
	}
	for _, sql := range []string{"SET LOCAL search_path = 'x'", "SET application_name = 'x'", "SET dotterelswitch.class = 'lightcurve'"} {
		_, err = tx.Exec(t.Context(), sql)
		require.NoError(t, err, sql)
	}
	_, err = tx.Exec(t.Context(), insertReading, "state", "kept")
	require.NoError(t, err, "a refusal does not end the transaction")
	require.NoError(t, tx.Commit(t.Context()))
	require.Equal(t, []string{"kept"}, values(t, conn, "state"))

	_, err = conn.Prepare(t.Context(), "lost", "SET search_path = 'x'")
	requireSQLState(t, err, "0A000")
	_, err = conn.Prepare(t.Context(), "name", "SET application_name = 'x'")
	require.NoError(t, err)
	_, err = conn.Exec(t.Context(), "name")
	require.NoError(t, err)
}

func testTokens(t *testing.T, d *deployment) {
	conn := d.connect(0, nil)
	_, err := conn.Exec(t.Context(), "SET dotterelswitch.token = 'rubbish'")
	requireSQLState(t, err, "22P02")
	// A position ahead of the log is an error; the read must not wait for it.
	forged := forgedToken(t)
	_, err = conn.Exec(t.Context(), "SET dotterelswitch.token = '"+forged+"'")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err = conn.Exec(ctx, "SELECT value FROM readings WHERE subject = 'x'")
	requireSQLState(t, err, "22023")
}

func testCancel(t *testing.T, d *deployment) {
	for i := range 3 {
		conn := d.connect(i, nil)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, func() { _ = conn.PgConn().CancelRequest(context.Background()) })
		_, err := conn.Exec(ctx, "/* read */ SELECT pg_sleep(60)")
		cancel()
		requireSQLState(t, err, "57014")
		require.Empty(t, values(t, conn, "nothing"), "the session must remain usable")
	}
}

// testQueryWithinBatch guards against the answer to a Query that comes before that to the
// messages ahead of it: callers would take one for the other.
func testQueryWithinBatch(t *testing.T, d *deployment) {
	h, err := d.connect(0, nil).PgConn().Hijack()
	require.NoError(t, err)
	f := h.Frontend
	f.Send(&pgproto3.Parse{Query: insertReading})
	f.Send(&pgproto3.Bind{Parameters: [][]byte{[]byte("unsynced"), []byte("x")}})
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Query{String: "SELECT value FROM readings WHERE subject = 'unsynced'"})
	f.Send(&pgproto3.Sync{})
	require.NoError(t, f.Flush())
	require.NoError(t, h.Conn.SetReadDeadline(time.Now().Add(testTimeout)))
	message, err := f.Receive()
	require.NoError(t, err)
	require.IsType(t, &pgproto3.ErrorResponse{}, message)
	require.Equal(t, "FATAL", message.(*pgproto3.ErrorResponse).Severity)
	require.Empty(t, values(t, d.connect(0, nil), "unsynced"))
}

// testMalformedMessages guards against malformed start-up messages that keep their
// connection open or disturb other sessions.
func testMalformedMessages(t *testing.T, d *deployment) {
	other := d.connect(0, nil)
	for name, data := range map[string][]byte{
		"a length that is too small":  {0, 0, 0, 1},
		"a start-up that is too long": {0x7f, 0, 0, 0, 0, 3, 0, 0},
		"an unknown version":          {0, 0, 0, 8, 0, 9, 0, 0},
		"start-up without a service":  {0, 0, 0, 9, 0, 3, 0, 0, 0},
		"http":                        []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		c, err := net.Dial("tcp", d.addrs[0])
		require.NoError(t, err)
		_, err = c.Write(data)
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
		buf := make([]byte, 4096)
		for {
			if _, err = c.Read(buf); err != nil {
				break
			}
		}
		var timeout net.Error
		require.False(t, asError(err, &timeout) && timeout.Timeout(), "%s: the connection stays open", name)
		_ = c.Close()
	}
	require.Empty(t, values(t, other, "undisturbed"))
}

// testNoGoroutineLeak guards against goroutines that outlive their session. The
// callers send Terminate and wait, so that the host closes the connection first.
func testNoGoroutineLeak(t *testing.T, d *deployment) {
	const sessions, tolerance = 150, 40
	before := runtime.NumGoroutine()
	for i := range sessions {
		conn := d.connect(i%3, nil)
		if i%3 == 0 {
			_, err := conn.Begin(t.Context())
			require.NoError(t, err)
		}
		raw, err := conn.PgConn().Hijack()
		require.NoError(t, err)
		terminate, err := (&pgproto3.Terminate{}).Encode(nil)
		require.NoError(t, err)
		_, err = raw.Conn.Write(terminate)
		require.NoError(t, err)
		_, err = raw.Conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.NoError(t, raw.Conn.Close())
	}
	require.Eventually(t, func() bool { return runtime.NumGoroutine() < before+tolerance }, testTimeout, 10*time.Millisecond)
}

// testStalledReplication guards against acknowledging writes while replication is
// stalled, and against executing writes that were refused as not run.
func testStalledReplication(t *testing.T, d *deployment) {
	members := d.env.Groups[0].Members()
	for _, m := range members {
		m.SetReplicationStalled(true)
	}
	const writers = 90
	codes := make([]string, writers)
	var wg sync.WaitGroup
	for i := range writers {
		conn := d.connect(i%3, nil)
		wg.Go(func() {
			_, err := conn.Exec(context.Background(), "SET statement_timeout = '2s'")
			if err == nil {
				sql := fmt.Sprintf("INSERT INTO readings (subject, value) VALUES ('stall', '%d')", i)
				_, err = conn.Exec(context.Background(), sql)
			}
			var pgErr *pgconn.PgError
			if errors.As(err, &pgErr) {
				codes[i] = pgErr.Code
			}
		})
	}
	wg.Wait()
	for _, m := range members {
		m.SetReplicationStalled(false)
	}
	require.Contains(t, codes, "08007")
	require.Contains(t, codes, "57P05")
	require.NotContains(t, codes, "", "no write may be acknowledged")
	stored := values(t, d.connect(0, nil), "stall")
	for i, code := range codes {
		if code == "57P05" {
			require.NotContains(t, stored, strconv.Itoa(i), "refused as not run, but it ran")
		}
	}
}
