package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/standin/program"
)

// logBuffer collects log lines of a running program.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) find(re *regexp.Regexp) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := re.FindSubmatch(l.b.Bytes()); m != nil {
		return string(m[1])
	}
	return ""
}

// Guards against settings that do not reach the group, and against a statement log that is lost at the end.
func TestProgram(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	logPath := filepath.Join(dir, "statements.jsonl")
	path := filepath.Join(dir, "settings.json")
	is.NoErr(os.WriteFile(path, []byte(`{"statement_log": "`+logPath+`", "groups": [{"id": "g1", "members":
		[{"id": "m1", "failure_domain": "fd-a"}, {"id": "m2"}], "schema": ["CREATE TABLE t (id int)"]}]}`), 0o600))
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	logs := new(logBuffer)
	exit := make(chan int, 1)
	go func() {
		exit <- program.MainContext(ctx, name, help, []string{"--settings", path}, logs, run)
	}()
	address := ""
	for listening := regexp.MustCompile(`member=m1 address=(\S+)`); address == "" && ctx.Err() == nil; {
		address = logs.find(listening)
		time.Sleep(time.Millisecond)
	}
	c, err := pgx.Connect(ctx, "postgres://proxy@"+address+"/db?sslmode=disable")
	is.NoErr(err)
	_, err = c.Exec(ctx, "INSERT INTO t (id) VALUES (1)")
	is.NoErr(err)
	is.NoErr(c.Close(ctx))
	cancel()
	is.Equal(<-exit, 0)
	b, err := os.ReadFile(logPath)
	is.NoErr(err)
	var line loggedLine
	is.NoErr(json.Unmarshal(b, &line))
	is.Equal(line.SQL, "INSERT INTO t (id) VALUES (1)")

	is.NoErr(os.WriteFile(path, []byte(`{"grops": []}`), 0o600))
	is.Equal(program.MainContext(t.Context(), name, help, []string{"--settings", path}, logs, run), 1)
}
