package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"bitternmoor/internal/scaletest/scalefit"
	"bitternmoor/internal/scaletest/scalerun"
)

var update = flag.Bool("update", false, "rewrite testdata/output.golden")

func readJSON(t *testing.T, name string, into any) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		t.Fatal(err)
	}
}

// TestOutput compares the output of scalerun with a golden file byte for byte.
func TestOutput(t *testing.T) {
	var result scalerun.Result
	readJSON(t, "result.json", &result)
	var fits []scalefit.Fit
	readJSON(t, "fits.json", &fits)
	var got bytes.Buffer
	printResult(&got, &result)
	printResult(&got, &scalerun.Result{})
	printFits(&got, fits, nil)
	printFits(&got, fits, []float64{3, 1e9})
	path := filepath.Join("testdata", "output.golden")
	if *update {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("output differs from %s:\n%s", path, got.Bytes())
	}
}
