package settings

import (
	"path/filepath"
	"strings"
	"testing"

	"gopkg.in/ini.v1"
)

// Settings of pools and of the operators' listener are read, and an invalid one gives an error of one line
// with its section and key.
func TestPoolsSettings(t *testing.T) {
	read := func(text string) (Tunables, error) {
		f, err := ini.Load([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		x := Defaults()
		return x, x.read(f)
	}
	x, err := read("[pool a]\nunits = 5\nreserve = 2\nhold_after_loss = 30\nteams = risk:3, audit:2\n" +
		"[pool b]\nunits = 0\n")
	if err != nil || len(x.Pools) != 2 {
		t.Fatalf("pools %+v, error %v", x.Pools, err)
	}
	p := x.Pools[0]
	if p.Shares[1] != (PoolShare{Team: "audit", Units: 2}) || p.HoldAfterLossS != 30 || p.Reserve != 2 {
		t.Errorf("%+v", p)
	}
	for text, field := range map[string]string{
		"[pool a]\nreserve = 1\n":                                                    "pool a.units",
		"[pool a]\nunits = x\n":                                                      "pool a.units",
		"[pool a]\nunits = 2.5\n":                                                    "pool a.units",
		"[pool a]\nunits = -1\n":                                                     "pool a.units",
		"[pool a]\nunits = 3\nreserve = 4\n":                                         "pool a.reserve",
		"[pool a]\nunits = 3\nteams = risk\n":                                        "pool a.teams",
		"[pool a]\nunits = 3\nteams = risk:1,risk:2\n":                               "pool a.teams",
		"[pool a]\nunits = 3\nhold_after_loss = -1\n":                                "pool a.hold_after_loss",
		"[pool a]\nunits = 3\nsize = 1\n":                                            "pool a.size",
		"[pool a b]\nunits = 3\n":                                                    "pool a b",
		"[pool " + strings.Repeat("x", 70) + "]\nunits = 3\n":                        "1 to 64 bytes",
		"[operators]\nlisten = here\n":                                               "operators.listen",
		"[operators]\nlisten = 127.0.0.1:1\n":                                        "operators.cert_file",
		"[operators]\nlisten = 127.0.0.1:1\ncert_file = a\n":                         "operators.key_file",
		"[operators]\nlisten = h:1\ncert_file=a\nkey_file=b\nca_file=c\noperate=x\n": "operators.cert_file",
		"[pools]\nsilent_after = -1\n":                                               "pools.silent_after",
		"[pools]\nreceipt_life = 1\n":                                                "pools.receipt_life",
	} {
		t.Run(text, func(t *testing.T) {
			_, err := read(text)
			if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line that names %s", err, field)
			}
		})
	}
	s := &Settings{Tunables: x}
	s.Deployment.Teams = []Team{{Name: "risk"}}
	if err := s.checkPools(); err == nil || !strings.Contains(err.Error(), `pool a.teams: no such team: "audit"`) {
		t.Errorf("unknown team: %v", err)
	}
}

// The INI files under deploy, which enable optional features, are valid.
func TestDeployedFiles(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.ini")
	if err != nil || len(files) < 3 {
		t.Fatalf("INI files %v, error %v", files, err)
	}
	for _, name := range files {
		f, err := ini.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		x := Defaults()
		if err := x.read(f); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
