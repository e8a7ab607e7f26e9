package main

import (
	"bytes"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"bitternmoor/internal/scaletest/scalefit"
	"bitternmoor/internal/scaletest/scalerun"
)

var update = flag.Bool("update", false, "write testdata/output.golden anew")

// fillNumbers sets every number of a value, and of what it holds. They follow from the JSON names on the path to
// them, which stay, rather than from the order or the names of Go fields.
func fillNumbers(v reflect.Value, path string) {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(path)) // never an error
	number := int(digest.Sum32() % 100)
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); field.IsExported() {
				fillNumbers(v.Field(i), path+"."+name)
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			fillNumbers(v.Index(i), fmt.Sprint(path, i))
		}
	case reflect.Float64:
		v.SetFloat(float64(number) * 7.125)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(1 + number*number))
	case reflect.Uint64:
		v.SetUint(uint64(number))
	}
}

// What scalerun prints is pinned, byte for byte.
func TestOutput(t *testing.T) {
	result := scalerun.Result{Experiment: "e", Broken: make([]string, brokenShown+2), Phases: make([]scalerun.Phase, 2)}
	for i := range result.Phases {
		p := &result.Phases[i]
		p.Name = "phase"
		p.Roles = make([]scalerun.Role, 3)
		for j := range p.Roles {
			p.Roles[j].Role = []string{"leader", "controller", "all"}[j]
		}
	}
	fillNumbers(reflect.ValueOf(&result).Elem(), "")
	result.Phases[1].Roles[2].Processes = 0
	result.Phases[1].Urgent.Count = 0
	fits := []scalefit.Fit{
		{Role: "leader", Cost: "cpu", Unit: "cores", Against: []string{"workers", "jobs"}},
		{Role: "all", Cost: "memory", Unit: "MiB", Against: []string{"workers", "jobs"}},
	}
	for i := range fits {
		f := &fits[i]
		f.Slopes, f.From, f.To = make([]float64, 2), make([]float64, 2), make([]float64, 2)
		fillNumbers(reflect.ValueOf(f).Elem(), f.Role)
	}
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
