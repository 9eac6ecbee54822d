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

// FuzzClassify checks that the lexer terminates without a panic on any input, and that
// no text with keywords or identifiers is classified as empty.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{"SELECT 1", "/*", "$a$", "'", `E'\`, "--", "\"", "/*/**/", "$1 $", "/* dotterelswitch: */"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		st := classify.Classify(sql)
		if st.Kind == classify.Empty && st.Count > 0 && len(st.Tokens) > 0 {
			t.Fatalf("%q: classified as empty with %d statements", sql, st.Count)
		}
	})
}
