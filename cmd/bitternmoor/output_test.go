package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/leader/coldstart"
	"bitternmoor/internal/leader/failover"
	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/leader/rebalance"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/leader/runtimes"
	"bitternmoor/internal/leader/slo"
	"bitternmoor/internal/node"
)

var update = flag.Bool("update", false, "rewrite testdata/output.golden")

// fill fills a value with numbers and strings of different lengths. It derives them from the JSON names on
// the path to each value, which are stable, rather than from the order or the names of Go fields.
func fill(v reflect.Value, path string) {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(path)) // never an error
	number := int(digest.Sum32() % 100)
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); field.IsExported() {
				fill(v.Field(i), path+"."+name)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 3, 3))
		for i := range v.Len() {
			fill(v.Index(i), fmt.Sprint(path, i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for i := range 2 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(key, fmt.Sprint(path, "key", i))
			fill(value, fmt.Sprint(path, "value", i))
			v.SetMapIndex(key, value)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), path)
	case reflect.String:
		v.SetString(strings.Repeat("x", number%7) + fmt.Sprint(number))
	case reflect.Bool:
		v.SetBool(number%2 == 0)
	case reflect.Float64:
		v.SetFloat(float64(number) * 1.2345)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(number*number - 50))
	case reflect.Uint8:
		v.SetUint(uint64(number % 3))
	case reflect.Uint64:
		v.SetUint(uint64(number % 40))
	}
}

func filledValue[T any]() T {
	var v T
	fill(reflect.ValueOf(&v).Elem(), "")
	return v
}

// printFilledAndZero returns a function that prints a filled value and a zero value.
func printFilledAndZero[T any](print func(io.Writer, T)) func(io.Writer) error {
	return func(out io.Writer) error {
		print(out, filledValue[T]())
		var empty T
		print(out, empty)
		return nil
	}
}

// runAgainstNode returns a function that runs a command against a node that answers with a value.
func runAgainstNode(cmd *cobra.Command, value any, args ...string) func(io.Writer) error {
	return func(out io.Writer) error {
		body, err := json.Marshal(value)
		if err != nil {
			return err
		}
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
		defer srv.Close()
		cmd.SetOut(out)
		cmd.SetArgs(append(args, "--address", srv.Listener.Addr().String()))
		return cmd.Execute()
	}
}

// TestOutput compares the output of commands with a golden file byte for byte, because operators' scripts
// read it.
func TestOutput(t *testing.T) {
	record := filledValue[failover.Record]()
	record.After = map[string]int64{}
	for i, s := range failover.Steps() {
		if i%2 == 0 {
			record.After[s.String()] = int64(1234 * i)
		}
	}
	holder := filledValue[pools.View]()
	holder.Holders[0].Task = -1
	ahead := filledValue[[]runtimes.ExpectedDemand]()
	ahead[0].Nights = 3
	var got bytes.Buffer
	for _, c := range []struct {
		name  string
		print func(io.Writer) error
	}{
		{"config", printFilledAndZero(func(out io.Writer, v reconfig.View) { printConfig(out, &v) })},
		{"config of this controller", printFilledAndZero(func(out io.Writer, v reconfig.LocalView) { printLocalConfig(out, &v) })},
		{"config history", printFilledAndZero(func(out io.Writer, v []config.Revision) { printHistory(out, v) })},
		{"status", printFilledAndZero(printStatus)},
		{"pools", printFilledAndZero(printPools)},
		{"forecast", printFilledAndZero(printForecasts)},
		{"ahead", printFilledAndZero(printAhead)},
		{"ahead, of some nights", func(out io.Writer) error { printAhead(out, ahead); return nil }},
		{"late", printFilledAndZero(printLate)},
		{"run times", printFilledAndZero(printKinds)},
		{"export", func(out io.Writer) error { exportKinds(out, []json.RawMessage{[]byte("{ \"a\": 1 }")}); return nil }},
		{"served", printFilledAndZero(func(out io.Writer, v []slo.View) { printServed(out, v) })},
		{"spread", printFilledAndZero(func(out io.Writer, v []rebalance.View) { printSpread(out, v) })},
		{"takeovers", printFilledAndZero(printTakeovers)},
		{"a takeover", func(out io.Writer) error { printTakeovers(out, []failover.Record{record}); return nil }},
		{"cold starts", printFilledAndZero(func(out io.Writer, v []coldstart.Record) { printColdStarts(out, v) })},
		{"pools show", runAgainstNode(poolShow(), holder, "p")},
		{"pools show, with nothing out", runAgainstNode(poolShow(), pools.View{}, "p")},
		{"pools show as JSON", runAgainstNode(poolShow(), holder, "p", "--json")},
		{"explain", runAgainstNode(explainCommand(), node.Explanation{ID: "j-000001", Words: []string{"a", "b c"}}, "j-000001")},
	} {
		fmt.Fprintf(&got, "== %s\n", c.name)
		if err := c.print(&got); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
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
