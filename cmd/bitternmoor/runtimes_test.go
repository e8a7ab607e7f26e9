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

// exitStatus returns the exit status of the program for an error.
func exitStatus(err error) int {
	var failed failure
	switch {
	case err == nil:
		return 0
	case errors.As(err, &failed):
		return exitFailed
	}
	return exitUsage
}

// fakeLeader is a node that serves some kinds of work and counts the change requests that it receives.
type fakeLeader struct {
	address string
	posts   int
}

// newFakeLeader starts a node that serves known, and answers each change request with answer.
func newFakeLeader(t *testing.T, known, answer string) *fakeLeader {
	t.Helper()
	l := &fakeLeader{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page := known
		if r.Method == http.MethodPost {
			l.posts++
			page = answer
		}
		_, _ = io.WriteString(w, page) // on error, the command fails too
	}))
	t.Cleanup(srv.Close)
	l.address = srv.Listener.Addr().String()
	return l
}

// run runs a command against the node and returns its output.
func (l *fakeLeader) run(cmd *cobra.Command, input string, args ...string) (printed string, err error) {
	var out bytes.Buffer
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.SetOut(&out)
	cmd.SetIn(strings.NewReader(input))
	cmd.SetArgs(append(args, "--address", l.address))
	err = cmd.Execute()
	return out.String(), err
}

// TestImport checks that an import prints its effect and sends nothing without confirmation, and that an
// invalid line is reported by its number and nothing is sent.
func TestImport(t *testing.T) {
	const (
		known = `[{"name":"c///","class":"c","estimate":{},"nights":[]}]`
		one   = `{"class":"c","nights":[[1,2,30,5,9,1,20,30,0.5,1,2]]}`
		two   = `{"class":"d","nights":[[1,2,30,5,9,1,20,30,0.5,1,2]]}`
	)
	for _, c := range []struct {
		name, file, input     string
		args                  []string
		wantOutput, wantError string // substrings of the output and of the error
		posts, exit           int
	}{
		{"confirmed", one + "\n\n" + two + "\n", "y\n", nil,
			"1 new ones would be added, 1 known ones left as they are", "", 1, 0},
		{"not confirmed", one + "\n" + two, "n\n", nil, "take them in? [y/N]", "nothing was changed", 0, exitFailed},
		{"no input", one, "", nil, "", "nothing was changed", 0, exitFailed},
		{"by a script", one + "\n" + two, "", []string{"--yes", "--replace"}, "1 known ones replaced", "", 1, 0},
		{"with JSON output", two, "", []string{"--yes", "--json"}, `{"added":1}`, "", 1, 0},
		{"a line of invalid JSON", one + "\n{", "y\n", nil, "", "line 2", 0, exitUsage},
		{"a line without nights", one + "\n" + `{"class":"d"}`, "y\n", nil, "", "line 2: nights", 0, exitUsage},
		{"the same kind twice", one + "\n" + one, "y\n", nil, "", "line 2: c/// is there twice", 0, exitUsage},
		{"an empty file", "\n", "y\n", nil, "", "holds no kind", 0, exitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newFakeLeader(t, known, `{"added":1}`)
			path := filepath.Join(t.TempDir(), "export.jsonl")
			if err := os.WriteFile(path, []byte(c.file), 0o600); err != nil {
				t.Fatal(err)
			}
			printed, err := l.run(importCommand(), c.input, append([]string{path}, c.args...)...)
			if exit := exitStatus(err); l.posts != c.posts || exit != c.exit || !strings.Contains(printed, c.wantOutput) {
				t.Errorf("%d posts, exit %d, %v, printed %q", l.posts, exit, err, printed)
			}
			if err != nil && (!strings.Contains(err.Error(), c.wantError) || strings.Contains(err.Error(), "\n")) {
				t.Errorf("the error does not contain %q, or has several lines: %v", c.wantError, err)
			}
		})
	}
}

// TestForget checks that forget prints what it removes, and removes nothing without confirmation.
func TestForget(t *testing.T) {
	for _, c := range []struct {
		name, key, input, wantOutput, wantError string
		args                                    []string
		posts, exit                             int
	}{
		{"confirmed", "c/t//", "y\n", "c/t// would be forgotten: 7 jobs", "", nil, 1, 0},
		{"not confirmed", "c/t//", "\n", "forget it? [y/N]", "nothing was changed", nil, 0, exitFailed},
		{"by a script", "c/t//", "", `{"forgotten":1}`, "", []string{"--yes", "--json"}, 1, 0},
		{"not known", "none", "y\n", "", `KEY: no kind of work is called "none"`, nil, 0, exitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newFakeLeader(t, `[{"name":"c/t//","estimate":{"jobs":7}}]`, `{"forgotten":1}`)
			printed, err := l.run(forgetCommand(), c.input, append([]string{c.key}, c.args...)...)
			if exit := exitStatus(err); l.posts != c.posts || exit != c.exit || !strings.Contains(printed, c.wantOutput) {
				t.Errorf("%d posts, exit %d, %v, printed %q", l.posts, exit, err, printed)
			}
			if err != nil && !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("the error does not contain %q: %v", c.wantError, err)
			}
		})
	}
}
