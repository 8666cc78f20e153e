// Package pagetest reads commands and names of metrics from the documentation, for tests that compare them with the
// programs.
package pagetest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Command is a command line on a page, without the name of the program.
type Command struct {
	Page string
	Args []string
}

// inline matches code between backticks on one line.
var inline = regexp.MustCompile("`([^`]+)`")

// Pages returns the text of the README and of all operations pages by path. The root is the module's directory.
func Pages(t *testing.T, root string) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, "docs/operations/*.md"))
	if err != nil || len(paths) == 0 {
		t.Fatal("no operations pages: ", err)
	}
	pages := make(map[string]string)
	for _, path := range append(paths, filepath.Join(root, "README.md")) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		pages[path] = string(text)
	}
	return pages
}

// Commands returns the command lines of the program in code blocks and inline code. Names of files that do not exist
// are replaced by one that does.
func Commands(t *testing.T, root, program string) []Command {
	t.Helper()
	var out []Command
	for page, text := range Pages(t, root) {
		for _, line := range strings.Split(text, "\n") {
			for _, code := range pieces(line) {
				if args, ok := parse(code, program); ok {
					out = append(out, Command{Page: page, Args: replaceFiles(root, args)})
				}
			}
		}
	}
	return out
}

// pieces returns the code on a line.
func pieces(line string) []string {
	if strings.HasPrefix(line, "    ") {
		return []string{line}
	}
	var out []string
	for _, m := range inline.FindAllStringSubmatch(line, -1) {
		out = append(out, m[1])
	}
	return out
}

// parse returns the arguments when the code is a command line of the program.
func parse(code, program string) ([]string, bool) {
	code, _, _ = strings.Cut(code, " # ")
	words := strings.Fields(strings.TrimPrefix(strings.TrimSpace(code), "$ "))
	if len(words) > 3 && words[0] == "go" && words[1] == "run" && words[2] == "./cmd/"+program {
		return words[3:], true
	}
	if len(words) > 1 && words[0] == program {
		return words[1:], true
	}
	return nil, false
}

func replaceFiles(root string, args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		out[i] = a
		if a == "FILE" || strings.HasSuffix(a, ".json") || strings.HasSuffix(a, ".jsonl") {
			out[i] = filepath.Join(root, "go.mod")
		}
	}
	return out
}
