package classify

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/request"
)

// shared is one classifier for all tests, because the parser takes seconds to start.
var shared = New()

func describe(t testing.TB, text string) *Statement {
	t.Helper()
	s, err := shared.Classify(context.Background(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestReadOrWrite guards against statements with side effects that are sent to a replica.
func TestReadOrWrite(t *testing.T) {
	reads := []string{
		"SELECT 1", "select * from t where id = $1 order by a limit 10", "TABLE t", "VALUES (1), (2)",
		"WITH a AS (SELECT 1) SELECT * FROM a", "(select 1) union all (select 2)",
		"EXPLAIN ANALYZE SELECT count(*) FROM t", "select now(), pg_catalog.lower(x) from t -- insert",
		"BEGIN READ ONLY", "START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY",
		"BEGIN READ ONLY; SELECT my_function(); COMMIT", "select x between 1 and 2, a like 'b%' from t",
		"select case when a then 1 else 2 end, extract(year from ts), array[1,2], row(1,2) from t",
		"select jsonb_agg(x) filter (where y) over (partition by z) from t tablesample system (10)",
	}
	for _, text := range reads {
		if describe(t, text).Kind != request.KindRead {
			t.Errorf("not a read: %s", text)
		}
	}
	writes := []string{
		"INSERT INTO t VALUES (1)", "UPDATE t SET a = 1", "DELETE FROM t", "SELECT * FROM t FOR UPDATE",
		"SELECT * FROM t FOR KEY SHARE", "WITH a AS (DELETE FROM t RETURNING *) SELECT * FROM a",
		"SELECT * INTO t2 FROM t", "SELECT nextval('s')", "SELECT my_function(1)", "SELECT other.lower('A')",
		"SELECT 1; INSERT INTO t VALUES (1)", "BEGIN", "BEGIN READ WRITE", "COMMIT",
		"BEGIN ISOLATION LEVEL SERIALIZABLE READ ONLY", "EXPLAIN ANALYZE DELETE FROM t", "CREATE TABLE t (a int)",
		"this is no SQL", "SELECT 'unterminated", "DO $$ BEGIN END $$", "CALL p()", "SELECT a OPERATOR(x.+) b FROM t",
		"SELECT a <~~~> b FROM t", "SELECT * FROM f(1)", "SELECT * FROM pg_stat_activity", "NOTIFY c", "SHOW all",
		"SELECT 1; BEGIN READ ONLY; COMMIT; INSERT INTO t VALUES (1)", "LOCK TABLE t", "FETCH c",
		"SELECT * FROM t ORDER BY a USING <~~~>", "select pg_notify('a', 'b')", "VACUUM", "",
	}
	for _, text := range writes[:len(writes)-1] {
		if describe(t, text).Kind != request.KindWrite {
			t.Errorf("not a write: %s", text)
		}
	}
}

// TestRefused guards against statements that would leave state on a shared connection.
func TestRefused(t *testing.T) {
	refused := []string{
		"LISTEN c", "COPY t FROM stdin", "COPY t TO stdout", "PREPARE p AS SELECT 1", "EXECUTE p",
		"CREATE TEMP TABLE t (a int)", "CREATE TEMPORARY VIEW v AS SELECT 1", "SELECT 1 INTO TEMP t",
		"CREATE TABLE pg_temp.t (a int)", "DECLARE c CURSOR WITH HOLD FOR SELECT 1", "SELECT pg_advisory_lock(1)",
		"INSERT INTO t SELECT pg_try_advisory_lock(1)", "SELECT set_config('a', 'b', false)",
		"SELECT set_config('a', 'b', 'true')", "SET LOCAL role = x", "SET LOCAL standard_conforming_strings = off",
		"LOAD 'x'", "PREPARE TRANSACTION 'x'", "COMMIT PREPARED 'x'", "SELECT 1; SET search_path = x",
		"SELECT \"pg_advisory_lock\"(1)", "UPDATE t SET a = U&\"pg\\005fadvisory_lock\"(1)", "COPY garbage (",
		"EXPLAIN EXECUTE p", "SELECT U&'x' UESCAPE '!', pg_advisory_lock(1)", "SET x FROM CURRENT", "SELECT 1; SHOW celerystep.token",
	}
	for _, text := range refused {
		if s := describe(t, text); s.Refusal == nil || s.Refusal.Code != codeFeatureNotSupported {
			t.Errorf("not refused: %s: %+v", text, s)
		}
	}
	allowed := []string{
		"SELECT pg_advisory_xact_lock(1)", "SELECT set_config('a', 'b', true)", "SET LOCAL statement_timeout = 5",
		"SET TRANSACTION READ ONLY", "DECLARE c CURSOR FOR SELECT 1", "INSERT INTO copy VALUES ('listen')",
		"UPDATE t SET temp = 'x'", "SHOW server_version; SELECT 1",
	}
	for _, text := range allowed {
		if s := describe(t, text); s.Refusal != nil || s.Local != nil {
			t.Errorf("not passed on: %s: %+v", text, s)
		}
	}
}

// TestTransactionFlags guards against a session that loses track of its transaction block.
func TestTransactionFlags(t *testing.T) {
	is := is.New(t)
	is.True(describe(t, "BEGIN").Begins)
	is.True(describe(t, "COMMIT AND CHAIN").Begins)
	is.True(describe(t, "COMMIT").Ends)
	is.True(describe(t, "ABORT").Rollback)
	is.True(!describe(t, "ROLLBACK TO s").Ends)
	is.True(describe(t, "ROLLBACK TO s").Savepoint)
	is.Equal(describe(t, "BEGIN; SELECT 1; COMMIT").Count, 3)
	is.Equal(describe(t, " ; -- nothing\n/* x */;").Count, 0)
	is.Equal(describe(t, "INSERT INTO t VALUES (1);").Count, 1)
}

// TestLocal guards against SET and SHOW that reach a shared connection or lose their values.
func TestLocal(t *testing.T) {
	is := is.New(t)
	set := describe(t, "SET search_path TO a, \"B\", 'c d'").Local
	is.Equal(set.Settings, []Setting{{Name: "search_path", Values: []string{"a", "B", "c d"}}})
	is.Equal(describe(t, "SET celerystep.max_age_ms = 2500").Local.Settings[0].Values, []string{"2500"})
	is.Equal(describe(t, "SET celerystep.max_age_ms = 3500").Local.Settings[0].Values, []string{"3500"})
	is.Equal(describe(t, "set TimeZone to default").Local.Settings, []Setting{{Name: "timezone", Default: true}})
	is.Equal(describe(t, "SET NAMES 'utf8'").Local.Settings[0].Name, "client_encoding")
	characteristics := describe(t, "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY, ISOLATION LEVEL SERIALIZABLE")
	is.Equal(characteristics.Local.Settings, []Setting{
		{Name: "default_transaction_read_only", Values: []string{"on"}},
		{Name: "default_transaction_isolation", Values: []string{"serializable"}},
	})
	is.Equal(describe(t, "SHOW TimeZone").Local.Name, "timezone")
	is.Equal(describe(t, "RESET ALL").Local.Op, LocalResetAll)
	is.Equal(describe(t, "DISCARD TEMP").Local.Tag, "DISCARD TEMP")
	is.Equal(describe(t, "DEALLOCATE \"P\"").Local.Name, "P")
}

// TestNormalise guards against literals that cause cache misses and against text that merges with a neighbour.
func TestNormalise(t *testing.T) {
	cases := map[string]string{
		"select 1, 2, 3":                        "select 1",
		"a in ('x','y''z', 'w')":                "a in ('')",
		"values (1,'a'), (2,'b'),(3,'c')":       "values (1,'')",
		"x = 12.5 and y = 99999999999":          "x = 1.5 and y = 1.5",
		"x = 1e5 and y = 0xFF and z=1_0":        "x = 1e5 and y = 0xFF and z=1_0",
		"f($12, $3) -- trace 17\n+ 5 /* 9 */":   "f($1) --\n+ 1 /**/",
		`select E'a\'b', $t$ ; ' $t$, "it's 5"`: `select E'', $$$$, "it's 5"`,
		"set x = 5, 6":                          "set x = 5, 6",
		"a1 = t.b2 and c$3 = '--'":              "a1 = t.b2 and c$3 = ''",
		"'a' 'b', u&'x' , -1, 2":                "'' '', u&'x' , -1",
		"f(1), g(1), (1)":                       "f(1), g(1)",
	}
	for text, want := range cases {
		s := scan([]byte(text))
		if got := string(s.out); got != want {
			t.Errorf("%s: got %s, want %s", text, got, want)
		}
	}
}

// TestTooComplex guards against texts that overflow the parser's stack, after which it gives wrong answers.
func TestTooComplex(t *testing.T) {
	is := is.New(t)
	const many = 100_000
	deep := []string{
		"SELECT " + strings.Repeat("1+", many) + "1", "SELECT " + strings.Repeat("NOT ", many) + "true",
		strings.Repeat("SELECT (", many) + "1" + strings.Repeat(")", many) + " FOR UPDATE",
		"SELECT 1" + strings.Repeat("::int", many), "SELECT " + strings.Repeat("CASE WHEN a AND ", many),
		"SELECT 1 FROM a" + strings.Repeat(" JOIN b ON f(1, 2)", many),
		"SELECT a" + strings.Repeat(" BETWEEN b AND c IS NULL", many),
	}
	for _, text := range deep {
		is.Equal(describe(t, text), plainWrite)
		is.Equal(describe(t, "LISTEN x; "+text), tooComplex)
	}
	is.Equal(describe(t, "SELECT pg_advisory_lock(1), "+strings.Repeat("1+", many)+"1"), tooComplex)
	is.Equal(describe(t, "SELECT a IN (1"+strings.Repeat(", 1", many)+")").Kind, request.KindRead)
	is.Equal(describe(t, "SELECT 1 WHERE a = 1"+strings.Repeat(" OR a = 1", 2000)).Kind, request.KindRead)
	is.True(!shared.Broken())
}

// TestCacheBounded guards against a cache that grows with the number of texts or mixes up entries of one set.
func TestCacheBounded(t *testing.T) {
	is := is.New(t)
	c := newCache()
	first := &Statement{Count: 1}
	long := []byte(strings.Repeat("x", maxKeyBytes+1))
	c.put([]byte("a"), first)
	c.put(long, first)
	is.Equal(c.get([]byte("a")), first)
	is.Equal(c.get(long), first)
	is.Equal(c.get([]byte("b")), nil)
	for i := range 10 * cacheSets * cacheWays {
		c.put([]byte(strings.Repeat("k", i%50)+string(rune(i))), &Statement{Count: i})
	}
	entries := 0
	for i := range c.sets {
		for j := range c.sets[i] {
			if c.sets[i][j].Load() != nil {
				entries++
			}
		}
	}
	is.True(entries <= cacheSets*cacheWays)
}
