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
)

// exitOf is the status that the program would end with.
func exitOf(err error) int {
	var f failure
	switch {
	case err == nil:
		return 0
	case errors.As(err, &f):
		return exitFailed
	}
	return exitUsage
}

// An import says what it will change and changes nothing unconfirmed; a line that
// is wrong is named, and nothing is sent.
func TestImport(t *testing.T) {
	known := `[{"name":"c///","class":"c","estimate":{},"nights":[]}]`
	one, two := `{"class":"c","nights":[[1,2,30,5,9,1,20,30,0.5,1,2]]}`, `{"class":"d","nights":[[1,2,30,5,9,1,20,30,0.5,1,2]]}`
	for _, c := range []struct {
		name, file, input string
		args              []string
		said, wrong       string // in what is printed, in the error
		posts, exit       int
	}{
		{"confirmed", one + "\n\n" + two + "\n", "y\n", nil, "1 new ones would be added, 1 known ones left as they are", "", 1, 0},
		{"not confirmed", one + "\n" + two, "n\n", nil, "take them in? [y/N]", "nothing was changed", 0, exitFailed},
		{"nobody there to ask", one, "", nil, "", "nothing was changed", 0, exitFailed},
		{"by a script", one + "\n" + two, "", []string{"--yes", "--replace"}, "1 known ones replaced", "", 1, 0},
		{"for a machine", two, "", []string{"--yes", "--json"}, `{"added":1}`, "", 1, 0},
		{"a line that is no JSON", one + "\n{", "y\n", nil, "", "line 2", 0, exitUsage},
		{"a field that is wrong", one + "\n" + `{"class":"d"}`, "y\n", nil, "", "line 2: nights", 0, exitUsage},
		{"the same twice", one + "\n" + one, "y\n", nil, "", "line 2: c/// is there twice", 0, exitUsage},
		{"an empty file", "\n", "y\n", nil, "", "holds no kind", 0, exitUsage},
	} {
		posts := 0
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				posts++
				_, _ = io.WriteString(w, `{"added":1}`)
				return
			}
			_, _ = io.WriteString(w, known)
		}))
		path := filepath.Join(t.TempDir(), "export.jsonl")
		if err := os.WriteFile(path, []byte(c.file), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		cmd := importCommand()
		cmd.SilenceUsage, cmd.SilenceErrors = true, true
		cmd.SetOut(&out)
		cmd.SetIn(strings.NewReader(c.input))
		cmd.SetArgs(append([]string{path, "--address", srv.Listener.Addr().String()}, c.args...))
		err := cmd.Execute()
		srv.Close()
		exit := exitOf(err)
		if posts != c.posts || exit != c.exit || !strings.Contains(out.String(), c.said) || (err != nil && (!strings.Contains(err.Error(), c.wrong) || strings.Contains(err.Error(), "\n"))) {
			t.Errorf("%s: %d posts, exit %d, %v, said %q", c.name, posts, exit, err, out.String())
		}
	}
}

// Forgetting says what it takes away and takes nothing away unconfirmed.
func TestForget(t *testing.T) {
	for _, c := range []struct {
		key, input, said, wrong string
		args                    []string
		posts, exit             int
	}{
		{"c/t//", "y\n", "c/t// would be forgotten: 7 jobs", "", nil, 1, 0},
		{"c/t//", "\n", "forget it? [y/N]", "nothing was changed", nil, 0, exitFailed},
		{"c/t//", "", `{"forgotten":1}`, "", []string{"--yes", "--json"}, 1, 0},
		{"none", "y\n", "", `KEY: no kind of work is called "none"`, nil, 0, exitUsage},
	} {
		posts := 0
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				posts++
				_, _ = io.WriteString(w, `{"forgotten":1}`)
				return
			}
			_, _ = io.WriteString(w, `[{"name":"c/t//","estimate":{"jobs":7}}]`)
		}))
		var out bytes.Buffer
		cmd := forgetCommand()
		cmd.SilenceUsage, cmd.SilenceErrors = true, true
		cmd.SetOut(&out)
		cmd.SetIn(strings.NewReader(c.input))
		cmd.SetArgs(append([]string{c.key, "--address", srv.Listener.Addr().String()}, c.args...))
		err := cmd.Execute()
		srv.Close()
		exit := exitOf(err)
		if posts != c.posts || exit != c.exit || !strings.Contains(out.String(), c.said) || (err != nil && !strings.Contains(err.Error(), c.wrong)) {
			t.Errorf("%+v: %d posts, exit %d, %v, said %q", c, posts, exit, err, out.String())
		}
	}
}
