package sqltext

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against splits inside quoted text or comments, and against empty statements.
func TestSplit(t *testing.T) {
	is := is.New(t)
	got, err := Split("select ';' ; -- one; two\n /* ; */ insert into t values ('it''s;');;")
	is.NoErr(err)
	is.Equal(got, []string{"select ';'", "-- one; two\n /* ; */ insert into t values ('it''s;')"})
	_, err = Split("select 'open")
	is.True(err != nil)
}

// Guards against writes taken for reads, which a replica would run, and against lost differences of dialect.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		sql    string
		class  Class
		tag    string
		sqlite string
	}{
		{"SELECT a FROM t WHERE id = $1", Read, "SELECT", "SELECT a FROM t WHERE id = ?1"},
		{"select a from t where id=$2 for update", Write, "SELECT", "select a from t where id=?2"},
		{"with x as (select 1) select * from x", Read, "SELECT", "with x as (select 1) select * from x"},
		{"with x as (select 1) delete from t", Write, "DELETE", "with x as (select 1) delete from t"},
		{"select 'insert'", Read, "SELECT", "select 'insert'"},
		{"insert into public.t values ($1::int8)", Write, "INSERT 0", "insert into t values (CAST(?1 AS INTEGER))"},
		{"select (a + 1)::text::varchar(3), f(b)::float8, t.c::bool from t", Read, "SELECT",
			"select CAST(CAST((a + 1) AS TEXT) AS TEXT), CAST(f(b) AS REAL), CAST(t.c AS INTEGER) from t"},
		{"create unique index i on t (a)", Write, "CREATE INDEX", "create unique index i on t (a)"},
		{"create table t (id bigserial primary key)", Write, "CREATE TABLE",
			"create table t (id INTEGER primary key)"},
		{"start transaction read only", Begin, "START TRANSACTION", ""},
		{"END", Commit, "COMMIT", ""},
		{"rollback to savepoint s", RollbackTo, "ROLLBACK", `ROLLBACK TO "s"`},
		{"discard all", DiscardAll, "DISCARD ALL", ""},
		{"select group_claim(5, 'i1')", Call, "SELECT", ""},
		{"select pg_sleep($1)", Call, "SELECT", ""},
	} {
		t.Run(c.sql, func(t *testing.T) {
			is := is.New(t)
			s, err := Parse(c.sql)
			is.NoErr(err)
			is.Equal(s.Class, c.class)
			is.Equal(s.Tag, c.tag)
			is.Equal(s.SQLite, c.sqlite)
		})
	}
}

// Guards against statements whose replay differs between members, and against features that need the real server.
func TestUnsupported(t *testing.T) {
	for _, sql := range []string{
		"insert into t values (random())", "update t set a = current_timestamp", "create temp table x (a int)",
		"prepare p as select 1", "copy t from stdin", "attach 'x' as y", "pragma foreign_keys", "select a::point from t",
	} {
		_, err := Parse(sql)
		var u *UnsupportedError
		if !errors.As(err, &u) {
			t.Errorf("%s: %v", sql, err)
		}
	}
}

// Guards against settings that are read under a wrong name or value.
func TestSettings(t *testing.T) {
	for _, c := range []struct {
		sql, name, value string
		local            bool
	}{
		{"SET celerystep.customer = 'it''s'", "celerystep.customer", "it's", false},
		{"set local statement_timeout to 500", "statement_timeout", "500", true},
		{"set session search_path to a, b", "search_path", "a, b", false},
		{"set time zone 'UTC'", "timezone", "UTC", false},
		{"show transaction isolation level", "transaction_isolation", "", false},
		{"reset all", "", "", false},
	} {
		is := is.New(t)
		s, err := Parse(c.sql)
		is.NoErr(err)
		is.Equal(s.Name, c.name)
		is.Equal(s.Value, c.value)
		is.Equal(s.Local, c.local)
	}
	s, err := Parse("begin isolation level repeatable read, read only")
	is.New(t).NoErr(err)
	is.New(t).Equal(s.Mode, TransactionMode{ReadOnly: true, Isolation: "repeatable read"})
}

var testSchema = Schema{"t": {{"id", "bigint"}, {"name", "text"}, {"ok", "boolean"}, {"f", "double precision"}}}

// Guards against parameters that a client would encode as the wrong type, such as booleans as text.
func TestParamTypes(t *testing.T) {
	for sql, want := range map[string][]uint32{
		"select * from t where id = $1 and ok = $2":             {Int8, Bool},
		"select * from t where $1 < t.id":                       {Int8},
		"insert into t (ok, id) values ($1, $2), ($3, $4)":      {Bool, Int8, Bool, Int8},
		"insert into t values ($1, upper($2), $3)":              {Int8, Unknown, Bool},
		"update t set f = f + $1, name = $2 where id in (3,$3)": {Float8, Text, Int8},
		"select * from t where id between $1 and $2 limit $3":   {Int8, Int8, Int8},
		"select $1::int4": {Int4},
		"select $1":       {Unknown},
	} {
		is := is.New(t)
		s, err := Parse(sql)
		is.NoErr(err)
		is.Equal(s.ParamTypes(testSchema), want)
	}
}

// Guards against booleans and bytes that are stored as text when they come as string literals.
func TestLiterals(t *testing.T) {
	is := is.New(t)
	s, err := Parse(`update t set name = 't', ok = 't' where ok = 'false' and id = '7'`)
	is.NoErr(err)
	got, err := s.WithLiterals(testSchema)
	is.NoErr(err)
	is.Equal(got, `update t set name = 't', ok = 1 where ok = 0 and id = '7'`)
}

// Guards against result columns that a client would decode as the wrong type, and against SQLite's column names.
func TestColumns(t *testing.T) {
	is := is.New(t)
	s, err := Parse("select id, count(*), max(f), sum(id) total, 1, 'x', ok and true, $1::int8, case when ok then 2.5 end, " +
		"(select name from t), coalesce(name, 'y') as n, f * 2, exists (select 1), -1 from t")
	is.NoErr(err)
	declared := make([]string, 14)
	declared[0] = "bigint"
	is.Equal(s.ColumnTypes(testSchema, declared), []uint32{
		Int8, Int8, Float8, Int8, Int4, Text, Bool, Int8, Float8, Text, Text, Float8, Bool, Int4,
	})
	s, err = Parse("select t.id, count(*), 1, id as x from t")
	is.NoErr(err)
	is.Equal(s.ColumnNames([]string{"id", "count(*)", "1", "x"}), []string{"id", "count", "?column?", "x"})
}
