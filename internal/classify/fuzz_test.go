package classify

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/request"
)

// FuzzClassify compares Classify, which replaces literals and skips the grammar for plain writes, with the grammar's
// view of the original text. It guards against a text that is called a read, or passed on, and is neither.
func FuzzClassify(f *testing.F) {
	seeds := []string{
		"SELECT 1", "select 'a''b', E'\\'; drop table t; --', $$x;y$$ from t where a in (1,2,3)", "BEGIN; COMMIT",
		"INSERT INTO t VALUES (1,'a'),(2,'b')", "WITH a AS (DELETE FROM t) SELECT 1", "SET TIME ZONE 'UTC'",
		"SELECT U&'\\0041' UESCAPE '!'", "LISTEN x", "select /* ; */ 1 -- x\n;select 2", "SELECT $1::float(30)",
		"UPDATE t SET a=1 WHERE b BETWEEN 1 AND 2 RETURNING pg_advisory_lock(1)", "CREATE TEMP TABLE t()",
		"select case when a then 1 end from t tablesample system(10) for update", "SELECT 'a'\n'b' 'c'", "x'1f' b'01'",
		"CREATE FUNCTION f() RETURNS int BEGIN ATOMIC SELECT 1; SELECT 2; END", "select 1.5e3, .5, 0x1F, 1_000, 5.",
		"INSERT INTO t SELECT * FROM u; LISTEN x", "(select 1)", "EXPLAIN SELECT 1", "select t.case, t.end from t",
	}
	for _, s := range seeds {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if strings.ContainsRune(text, 0) || len(text) > maxParseBytes {
			return
		}
		compare(t, text)
	})
}

func compare(t *testing.T, text string) {
	got, err := shared.Classify(context.Background(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s := scan([]byte(text))
	defer s.release()
	if s.depth.estimate() > maxDepth {
		return
	}
	<-shared.parser
	tree, err := shared.run(text)
	shared.parser <- struct{}{}
	if err != nil {
		return
	}
	want := analyze(tree)
	if got.Kind == request.KindRead && want.Kind != request.KindRead {
		t.Fatalf("called a read: %q normalised to %q", text, s.out)
	}
	if (want.Refusal != nil) != (got.Refusal != nil) {
		t.Fatalf("refusal differs: %q: got %v, want %v", text, got.Refusal, want.Refusal)
	}
	if want.Count != got.Count || want.Begins != got.Begins || want.Ends != got.Ends {
		t.Fatalf("differs: %q: got %+v, want %+v", text, got, want)
	}
	if (want.Local == nil) != (got.Local == nil) {
		t.Fatalf("local differs: %q", text)
	}
}

// fragments are combined at random into texts that are often valid and put quotes and comments next to each other.
var fragments = []string{
	"select", "from t", "where", "a", "=", "1", "'x'", "E'\\''", "$$;$$", "$1", "(", ")", ",", ";", "--x\n", "/*;*/",
	"insert into t", "values", "update t set a", "delete from t", "for update", "with q as", "union all", "case when",
	"then", "else", "end", "and", "or", "not", "between", "lower(a)", "nextval('s')", "pg_advisory_lock(1)", "begin",
	"commit", "set x =", "listen c", "\"q\"", "1.5", "1e5", "U&'x'", "uescape '!'", "into temp z", "returning a", "\n",
	"'", "\"", "$t$", "*", "join", "on", "::int", "[1]", "interval '1' day", "limit 1", "x'1f'", ".b", "explain",
}

// TestClassifyRandom runs the comparison of FuzzClassify on seeded random texts in every test run.
func TestClassifyRandom(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		var b strings.Builder
		for range 1 + r.IntN(14) {
			b.WriteString(fragments[r.IntN(len(fragments))])
			b.WriteString(strings.Repeat(" ", r.IntN(2)))
		}
		compare(t, b.String())
	}
}

// TestDepthEstimate guards against trees that are deeper than estimated, which would overflow the parser's stack. A
// level of the estimate stands for at most eight nested nodes of the tree.
func TestDepthEstimate(t *testing.T) {
	forms := []string{
		"(%)", "% + 1", "not %", "(select %)", "case when % then 1 end", "case when 1 then 2 when 3 then % end", "f(1, %)",
		"%::int", "a between % and 2", "(% and b)", "(a or % or c)", "array[%]", "% is null", "- %", "row(1, %)",
		"(select 1 from (select %) x join y on true)", "a in (select 1 union select %)", "% collate c", "(%).f",
		"(with w as (select %) select 1)", "% at time zone 'x'", "coalesce(1, %)", "a[%]", "% || 'x'", "f(% order by 1)",
	}
	rapid.Check(t, func(t *rapid.T) {
		text := "1"
		for range rapid.IntRange(1, 60).Draw(t, "levels") {
			text = strings.Replace(rapid.SampledFrom(forms).Draw(t, "form"), "%", text, 1)
		}
		text = "select " + text
		s := scan([]byte(text))
		defer s.release()
		<-shared.parser
		tree, err := shared.run(text)
		shared.parser <- struct{}{}
		if err != nil {
			t.Skip(err)
		}
		if depth := treeDepth(tree.ProtoReflect()); depth > 8*s.depth.estimate()+16 {
			t.Fatalf("depth %d, estimate %d: %s", depth, s.depth.estimate(), text)
		}
	})
}

func treeDepth(m protoreflect.Message) int {
	deepest := 0
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case fd.Kind() != protoreflect.MessageKind:
		case fd.IsList():
			for i := range v.List().Len() {
				deepest = max(deepest, treeDepth(v.List().Get(i).Message()))
			}
		default:
			deepest = max(deepest, treeDepth(v.Message()))
		}
		return true
	})
	return deepest + 1
}
