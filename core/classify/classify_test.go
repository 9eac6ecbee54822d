package classify_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/classify"
)

func TestClassifyKinds(t *testing.T) {
	for sql, want := range map[string]classify.Kind{
		"":                                     classify.Empty,
		" -- nothing\n /* at /* all */ */ ; ":  classify.Empty,
		"SELECT 1":                             classify.Read,
		"select 'insert into x' from t":        classify.Read,
		`SELECT "update" FROM t`:               classify.Read,
		"SELECT $$delete$$":                    classify.Read,
		"SELECT $a$ ; insert $a$":              classify.Read,
		`SELECT E'it\'s; delete'`:              classify.Read,
		"SELECT * FROM t FOR UPDATE":           classify.Write,
		"SELECT * FROM t FOR SHARE":            classify.Write,
		"SELECT substring(a FOR 3) FROM t":     classify.Read,
		"SELECT * INTO u FROM t":               classify.Write,
		"SELECT nextval('s')":                  classify.Write,
		"WITH x AS (DELETE FROM t) SELECT 1":   classify.Write,
		"WITH x AS (SELECT 1) SELECT * FROM x": classify.Read,
		"INSERT INTO t VALUES (1)":             classify.Write,
		"SELECT 1; SELECT 2":                   classify.Write,
		"SELECT 1;":                            classify.Read,
		"BEGIN":                                classify.Begin,
		"START TRANSACTION READ ONLY":          classify.BeginRead,
		"COMMIT":                               classify.End,
		"ROLLBACK TO SAVEPOINT a":              classify.Write,
		"SET a = 1":                            classify.Set,
		"SHOW a":                               classify.Show,
		"LISTEN a":                             classify.Pinning,
		"CREATE TEMP TABLE a (b int)":          classify.Pinning,
		"SELECT pg_advisory_lock(1)":           classify.Pinning,
		"COPY t FROM STDIN":                    classify.Pinning,
		"VACUUM":                               classify.Write,
	} {
		require.Equal(t, want, classify.Classify(sql).Kind, "%q", sql)
	}
}

func TestClassifyHints(t *testing.T) {
	st := classify.Classify("/* dotterelswitch: key=k1 class=lookup colour=red */ SELECT '/* dotterelswitch: key=k2 */'")
	require.Equal(t, classify.Hints{Key: "k1", Class: "lookup", Unknown: []string{"colour"}}, st.Hints)
}

// TestHiddenWriteIsNotARead guards against writes that run as reads, which may be repeated
// after their answer is lost: text that the lexer skips and PostgreSQL runs.
func TestHiddenWriteIsNotARead(t *testing.T) {
	for name, sql := range map[string]string{
		"a dollar sign in an identifier":            "SELECT 1 AS a$b$; DELETE FROM t; SELECT 2 AS c$b$",
		"a dollar sign at the end of an identifier": "SELECT a$, 1; DELETE FROM t; SELECT b$",
		"a comment that a carriage return ends":     "SELECT 1 -- x\r; DELETE FROM t",
		"a string with backslash escapes":           `SELECT '\''; DELETE FROM t; --'`,
		"an escape string that goes on":             "SELECT E'a'\n'\\''; DELETE FROM t; --'",
		"a quoted function name":                    `SELECT "nextval"('s')`,
		"a large object":                            "SELECT lo_import('/etc/motd')",
		"another server":                            "SELECT * FROM dblink('c', 'DELETE FROM t') AS x (a int)",
	} {
		require.Equal(t, classify.Write, classify.Classify(sql).Kind, name)
	}
	for _, sql := range []string{`SELECT E'it\'s'`, `SELECT 'C:\dir'`, `SELECT U&"d\0061t\+000061", U&'\0041'`, "SELECT $1, a$1 FROM t", `SELECT "nextval2"`} {
		require.Equal(t, classify.Read, classify.Classify(sql).Kind, sql)
	}
}

// TestSessionStateOfLaterStatement guards against state that is left on a pooled
// connection by a statement that is not the first one of its text.
func TestSessionStateOfLaterStatement(t *testing.T) {
	for sql, want := range map[string]string{
		"SELECT 1; LISTEN a":                                "LISTEN",
		"SELECT 1; SET search_path = x":                     "SET",
		"BEGIN; RESET ALL; COMMIT":                          "RESET",
		"SELECT 1; SELECT pg_advisory_lock(1)":              "PG_ADVISORY_LOCK",
		"SELECT 1; CREATE LOCAL TEMPORARY TABLE a (b int)":  "TEMPORARY",
		"SELECT 1; DECLARE a CURSOR WITH HOLD FOR SELECT 1": "DECLARE",
	} {
		st := classify.Classify(sql)
		require.Equal(t, classify.Pinning, st.Kind, sql)
		require.Equal(t, want, st.SessionState, sql)
	}
	for _, sql := range []string{"SELECT set_config('a', 'b', false)", "SELECT set_config($1, $2, $3)", "SELECT 1 INTO TEMP a", "CREATE OR REPLACE TEMP VIEW a AS SELECT 1"} {
		require.Equal(t, classify.Pinning, classify.Classify(sql).Kind, sql)
	}
}

// TestTransactionStateIsNotSessionState covers statements whose effect ends with their
// transaction.
func TestTransactionStateIsNotSessionState(t *testing.T) {
	for _, sql := range []string{
		"BEGIN; SET LOCAL search_path = x; SELECT 1; COMMIT", "SELECT 1; SET CONSTRAINTS ALL DEFERRED", "SET TRANSACTION READ ONLY",
		"SELECT set_config('a', 'b', true)", "BEGIN; DECLARE a CURSOR FOR SELECT 1; COMMIT", "CREATE TEMP TABLE a (b int) ON COMMIT DROP",
		"CREATE TABLE temp (a int)", "UPDATE t SET a = 1; SELECT 1", "SELECT 1; INSERT INTO temp VALUES (1)",
	} {
		require.Empty(t, classify.Classify(sql).SessionState, sql)
	}
}

// TestTextWithoutKeywordIsNotEmpty guards against an empty answer to a text that the
// server refuses.
func TestTextWithoutKeywordIsNotEmpty(t *testing.T) {
	for _, sql := range []string{"1", "'x'", `"x"`, "$$x$$", "("} {
		require.Equal(t, classify.Write, classify.Classify(sql).Kind, sql)
	}
}

// FuzzClassify checks that the lexer terminates without a panic on any input, that only
// texts without a statement are classified as empty, and that every text which the
// reference lexer finds to write is classified as a write.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{"SELECT 1", "/*", "$a$", "'", `E'\`, "--", "\"", "/*/**/", "$1 $", "/* dotterelswitch: */",
		"SELECT 1 AS a$b$; DELETE FROM t", "SELECT E'\\''; SELECT 2", "SELECT U&'x' /* a /* b */ c */; UPDATE t SET a = 1", "SELECT $a$ $b$ $a$, $1; INSERT"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		st := classify.Classify(sql)
		if st.Kind == classify.Empty && st.Count > 0 && len(st.Tokens) > 0 {
			t.Fatalf("%q: classified as empty with %d statements", sql, st.Count)
		}
		ref := readReference(sql)
		if (st.Kind == classify.Empty) != (ref.statements == 0) {
			t.Fatalf("%q: %s with %d statements", sql, st.Kind, ref.statements)
		}
		if st.Kind == classify.Read && (ref.statements > 1 || ref.writes()) {
			t.Fatalf("%q: a read with %d statements and the words %q", sql, ref.statements, ref.words)
		}
	})
}
