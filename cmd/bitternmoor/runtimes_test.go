package main

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// exitOf is the status that the program would end with.
func exitOf(err error) int {
	var failed failure
	switch {
	case err == nil:
		return 0
	case errors.As(err, &failed):
		return exitFailed
	}
	return exitUsage
}

// leader is a node that knows some kinds of work and counts the changes that are asked of it.
type leader struct {
	address string
	posts   int
}

// newLeader starts a node that shows what is known and answers to each change.
func newLeader(t *testing.T, known, answer string) *leader {
	t.Helper()
	l := &leader{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page := known
		if r.Method == http.MethodPost {
			l.posts++
			page = answer
		}
		_, _ = io.WriteString(w, page) // where that fails, the command does
	}))
	t.Cleanup(srv.Close)
	l.address = srv.Listener.Addr().String()
	return l
}

// run runs a command against the node and returns what it prints.
func (l *leader) run(cmd *cobra.Command, input string, args ...string) (printed string, err error) {
	var out bytes.Buffer
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.SetOut(&out)
	cmd.SetIn(strings.NewReader(input))
	cmd.SetArgs(append(args, "--address", l.address))
	err = cmd.Execute()
	return out.String(), err
}

// An import says what it will change and changes nothing unconfirmed; a line that is wrong is named, and nothing is
// sent.
func TestImport(t *testing.T) {
	const (
		known = `[{"name":"c///","class":"c","estimate":{},"nights":[]}]`
		one   = `{"class":"c","nights":[[1,2,30,5,9,1,20,30,0.5,1,2]]}`
		two   = `{"class":"d","nights":[[1,2,30,5,9,1,20,30,0.5,1,2]]}`
	)
	for _, c := range []struct {
		name, file, input string
		args              []string
		printed, wrong    string // in what is printed, in the error
		posts, exit       int
	}{
		{"confirmed", one + "\n\n" + two + "\n", "y\n", nil,
			"1 new ones would be added, 1 known ones left as they are", "", 1, 0},
		{"not confirmed", one + "\n" + two, "n\n", nil, "take them in? [y/N]", "nothing was changed", 0, exitFailed},
		{"nobody there to ask", one, "", nil, "", "nothing was changed", 0, exitFailed},
		{"by a script", one + "\n" + two, "", []string{"--yes", "--replace"}, "1 known ones replaced", "", 1, 0},
		{"for a machine", two, "", []string{"--yes", "--json"}, `{"added":1}`, "", 1, 0},
		{"a line that is no JSON", one + "\n{", "y\n", nil, "", "line 2", 0, exitUsage},
		{"a field that is wrong", one + "\n" + `{"class":"d"}`, "y\n", nil, "", "line 2: nights", 0, exitUsage},
		{"the same twice", one + "\n" + one, "y\n", nil, "", "line 2: c/// is there twice", 0, exitUsage},
		{"an empty file", "\n", "y\n", nil, "", "holds no kind", 0, exitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(t, known, `{"added":1}`)
			path := filepath.Join(t.TempDir(), "export.jsonl")
			if err := os.WriteFile(path, []byte(c.file), 0o600); err != nil {
				t.Fatal(err)
			}
			printed, err := l.run(importCommand(), c.input, append([]string{path}, c.args...)...)
			if exit := exitOf(err); l.posts != c.posts || exit != c.exit || !strings.Contains(printed, c.printed) {
				t.Errorf("%d posts, exit %d, %v, printed %q", l.posts, exit, err, printed)
			}
			if err != nil && (!strings.Contains(err.Error(), c.wrong) || strings.Contains(err.Error(), "\n")) {
				t.Errorf("the error does not say %q in one line: %v", c.wrong, err)
			}
		})
	}
}

// Forgetting says what it takes away and takes nothing away unconfirmed.
func TestForget(t *testing.T) {
	for _, c := range []struct {
		name, key, input, printed, wrong string
		args                             []string
		posts, exit                      int
	}{
		{"confirmed", "c/t//", "y\n", "c/t// would be forgotten: 7 jobs", "", nil, 1, 0},
		{"not confirmed", "c/t//", "\n", "forget it? [y/N]", "nothing was changed", nil, 0, exitFailed},
		{"by a script", "c/t//", "", `{"forgotten":1}`, "", []string{"--yes", "--json"}, 1, 0},
		{"not known", "none", "y\n", "", `KEY: no kind of work is called "none"`, nil, 0, exitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(t, `[{"name":"c/t//","estimate":{"jobs":7}}]`, `{"forgotten":1}`)
			printed, err := l.run(forgetCommand(), c.input, append([]string{c.key}, c.args...)...)
			if exit := exitOf(err); l.posts != c.posts || exit != c.exit || !strings.Contains(printed, c.printed) {
				t.Errorf("%d posts, exit %d, %v, printed %q", l.posts, exit, err, printed)
			}
			if err != nil && !strings.Contains(err.Error(), c.wrong) {
				t.Errorf("the error does not say %q: %v", c.wrong, err)
			}
		})
	}
}
