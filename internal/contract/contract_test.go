package contract

import (
	"flag"
	"fmt"
	"go/ast"
	"go/constant"
	"go/token"
	"go/types"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/failover"
	"bitternmoor/internal/wire"
)

var update = flag.Bool("update", false, "rewrite the golden file")

const goldenFile = "testdata/contract.txt"

// TestContract compares all names that leave a process or outlive it with the golden file. A difference is
// a change that affects other versions, users, operators or stored data.
func TestContract(t *testing.T) {
	got := strings.Join(collectNames(t), "\n") + "\n"
	if *update {
		if err := os.WriteFile(goldenFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	want := countLines(string(raw))
	have := countLines(got)
	for line, n := range want {
		if have[line] < n {
			t.Errorf("missing from the sources: %s", line)
		}
	}
	for line, n := range have {
		if want[line] < n {
			t.Errorf("missing from the golden file: %s", line)
		}
	}
}

// countLines counts how often each line occurs in a text.
func countLines(text string) map[string]int {
	out := map[string]int{}
	for line := range strings.Lines(text) {
		out[strings.TrimSpace(line)]++
	}
	return out
}

// collector collects the names in the sources. Each is stored as a line of the golden file: its kind and
// its text.
type collector struct {
	t     *testing.T
	found map[string]bool
}

func (c *collector) add(kind, format string, args ...any) {
	c.found[kind+" "+fmt.Sprintf(format, args...)] = true
}

// collectNames returns all collected names as sorted lines of the golden file.
func collectNames(t *testing.T) []string {
	c := &collector{t: t, found: map[string]bool{}}
	mode := packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps
	list, err := packages.Load(&packages.Config{Mode: mode, Dir: "../.."}, "./internal/...", "./cmd/...")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range list {
		for _, e := range p.Errors {
			t.Fatalf("%s: %v", p.PkgPath, e)
		}
		c.collectPackage(p)
	}
	c.storedNumbers()
	c.labelWords()
	c.stateKeys()
	c.settingsKeys()
	c.deploymentKeys()
	out := slices.Sorted(maps.Keys(c.found))
	for _, kind := range []string{"rpc", "json", "toml", "command", "flag", "route", "path", "metric", "label", "key", "ini", "number", "owner", "env", "word", "attr", "header", "file", "deploy", "value", "answer"} {
		if !slices.ContainsFunc(out, func(line string) bool { return strings.HasPrefix(line, kind+" ") }) {
			t.Errorf("no names of the kind %q were found: the collector no longer recognizes them", kind)
		}
	}
	return out
}

// collectPackage collects the names in the sources of one package.
func (c *collector) collectPackage(p *packages.Package) {
	scope := p.Types.Scope()
	for _, name := range scope.Names() {
		switch o := scope.Lookup(name).(type) {
		case *types.Const:
			c.constant(o)
		case *types.TypeName:
			c.rpcService(p, o)
		}
	}
	for _, f := range p.Syntax {
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				c.call(p, n)
			case *ast.CompositeLit:
				c.compositeLiteral(p, n)
			case *ast.StructType:
				c.taggedStruct(p, n)
			case *ast.BasicLit:
				c.metricName(n)
				c.fileName(n)
			case *ast.AssignStmt:
				c.assignedValues(p, n)
			case *ast.FuncDecl:
				c.enumerationWords(p, n)
			}
			return true
		})
	}
}

// constant collects constants that look like paths, HTTP headers or prefixes of messages.
func (c *collector) constant(o *types.Const) {
	if o.Val().Kind() != constant.String {
		return
	}
	v := constant.StringVal(o.Val())
	switch {
	case strings.HasPrefix(v, "/"), strings.HasSuffix(v, ": "), strings.HasSuffix(v, "/"), strings.HasPrefix(v, "X-"), strings.HasPrefix(v, "Bitternmoor-"):
		c.add("path", "%q", v)
	}
}

// rpcService collects the methods that net/rpc serves, with the fields of their parameters and results,
// because gob encodes the names of fields but not those of types.
func (c *collector) rpcService(p *packages.Package, o *types.TypeName) {
	named, ok := o.Type().(*types.Named)
	if !ok || o.Name() != "Controller" || !strings.HasSuffix(p.PkgPath, "node") {
		return
	}
	methods := types.NewMethodSet(types.NewPointer(named))
	for m := range methods.Methods() {
		sig, ok := m.Type().(*types.Signature)
		if !ok || !m.Obj().Exported() || sig.Params().Len() != 2 {
			continue
		}
		name := m.Obj().Name()
		for i, side := range []string{"takes", "gives"} {
			for _, line := range gobFields("", sig.Params().At(i).Type(), nil) {
				c.add("rpc", "Controller.%s %s %s", name, side, line)
			}
		}
	}
}

// gobFields returns the fields that gob encodes for a type, each with its path and basic type.
func gobFields(path string, t types.Type, seen []types.Type) []string {
	if slices.Contains(seen, t) {
		return []string{path + " recursive"}
	}
	seen = append(slices.Clip(seen), t)
	switch u := t.Underlying().(type) {
	case *types.Pointer:
		return gobFields(path, u.Elem(), seen)
	case *types.Slice:
		return gobFields(path+"[]", u.Elem(), seen)
	case *types.Array:
		return gobFields(path+"["+strconv.FormatInt(u.Len(), 10)+"]", u.Elem(), seen)
	case *types.Map:
		return append(gobFields(path+"{key}", u.Key(), seen), gobFields(path+"{}", u.Elem(), seen)...)
	case *types.Struct:
		var out []string
		for f := range u.Fields() {
			if f.Exported() {
				out = append(out, gobFields(path+"."+f.Name(), f.Type(), seen)...)
			}
		}
		return append(out, path+" struct")
	}
	return []string{path + " " + t.Underlying().String()}
}

// jsonShape describes the encoding of a type by encoding/json: its keys in order, with the types of their
// values. tag is the key of the struct tags that are read.
func jsonShape(t types.Type, tag string, seen []types.Type) string {
	if slices.Contains(seen, t) {
		return "recursive"
	}
	seen = append(slices.Clip(seen), t)
	if named, ok := t.(*types.Named); ok && named.Obj().Pkg() != nil && named.Obj().Pkg().Path() == "encoding/json" {
		return "raw"
	}
	switch u := t.Underlying().(type) {
	case *types.Pointer:
		return "*" + jsonShape(u.Elem(), tag, seen)
	case *types.Slice:
		return "[]" + jsonShape(u.Elem(), tag, seen)
	case *types.Array:
		return "[" + strconv.FormatInt(u.Len(), 10) + "]" + jsonShape(u.Elem(), tag, seen)
	case *types.Map:
		return "{" + jsonShape(u.Key(), tag, seen) + ":" + jsonShape(u.Elem(), tag, seen) + "}"
	case *types.Struct:
		return "{" + strings.Join(structKeys(u, tag, seen), " ") + "}"
	case *types.Interface:
		return "any"
	}
	return t.Underlying().String()
}

// structKeys returns the encoded keys of a struct's fields, with the shapes of their values.
func structKeys(u *types.Struct, tag string, seen []types.Type) []string {
	var out []string
	for i := range u.NumFields() {
		f := u.Field(i)
		value, tagged := reflect.StructTag(u.Tag(i)).Lookup(tag)
		key, options, _ := strings.Cut(value, ",")
		if inner, ok := f.Type().Underlying().(*types.Struct); ok && f.Embedded() && key == "" {
			out = append(out, structKeys(inner, tag, seen)...)
			continue
		}
		if !f.Exported() || (tagged && value == "-") {
			continue
		}
		if key == "" {
			key = f.Name()
		}
		if options != "" {
			key += "," + options
		}
		out = append(out, key+"="+jsonShape(f.Type(), tag, seen))
	}
	return out
}

// taggedStruct collects the encoding of a struct type that has JSON, TOML or INI tags.
func (c *collector) taggedStruct(p *packages.Package, n *ast.StructType) {
	u, ok := p.TypesInfo.TypeOf(n).(*types.Struct)
	if !ok {
		return
	}
	for _, tag := range []string{"json", "toml", "ini"} {
		for i := range u.NumFields() {
			if _, ok := reflect.StructTag(u.Tag(i)).Lookup(tag); ok {
				c.add(tag, "%s", jsonShape(u, tag, nil))
				break
			}
		}
	}
}

// calledFunction returns the name of the called function or method, and the package of the function or the
// type of the method's receiver.
func calledFunction(p *packages.Package, n *ast.CallExpr) (receiver, name string) {
	switch f := ast.Unparen(n.Fun).(type) {
	case *ast.SelectorExpr:
		if t := p.TypesInfo.TypeOf(f.X); t != nil {
			receiver = t.String()
		}
		if id, ok := f.X.(*ast.Ident); ok {
			if pkg, ok := p.TypesInfo.Uses[id].(*types.PkgName); ok {
				receiver = pkg.Imported().Path()
			}
		}
		return receiver, f.Sel.Name
	case *ast.Ident:
		return "", f.Name
	}
	return "", ""
}

// constantString returns the value of an expression. It returns false if the expression is not a constant
// string.
func constantString(p *packages.Package, e ast.Expr) (string, bool) {
	v := p.TypesInfo.Types[e].Value
	if v == nil || v.Kind() != constant.String {
		return "", false
	}
	return constant.StringVal(v), true
}

// call collects the names in a call: types that are encoded as JSON, routes, flags, environment variables,
// and the names under which components of the leader store entries.
func (c *collector) call(p *packages.Package, n *ast.CallExpr) {
	receiver, name := calledFunction(p, n)
	switch {
	case receiver == "encoding/json" && (name == "Marshal" || name == "Unmarshal"), strings.HasPrefix(receiver, "*encoding/json."):
		for _, arg := range n.Args {
			c.encodedStruct(p.TypesInfo.TypeOf(arg))
		}
	case strings.Contains(receiver, "chi/v5") && slices.Contains([]string{"Get", "Post", "Method", "Put", "Delete"}, name):
		var words []string
		for _, arg := range n.Args {
			if v, ok := constantString(p, arg); ok {
				words = append(words, v)
			}
		}
		c.add("route", "%s %s", name, strings.Join(words, " "))
	case strings.HasSuffix(receiver, "pflag.FlagSet"):
		for _, arg := range n.Args {
			if v, ok := constantString(p, arg); ok {
				c.add("flag", "%s", v)
				return
			}
		}
	case receiver == "os" && name == "Getenv":
		if v, ok := constantString(p, n.Args[0]); ok {
			c.add("env", "%s", v)
		}
	case name == "add" && strings.HasSuffix(p.PkgPath, "term"), strings.HasSuffix(receiver, "/eventlog") && (name == "NewOwn" || name == "ValueKey"):
		if v, ok := constantString(p, n.Args[0]); ok && v != "" {
			c.add("owner", "%s", v)
		}
	}
	for _, arg := range n.Args {
		c.metricLabels(p, n.Args, arg)
	}
	c.logAttributes(p, n, name)
	c.answerTexts(p, n, receiver, name)
	if t := p.TypesInfo.TypeOf(n); t != nil && strings.HasSuffix(t.String(), "cobra.Command") && len(n.Args) > 0 {
		if v, ok := constantString(p, n.Args[0]); ok {
			c.add("command", "%s: %s", filepath.Base(p.PkgPath), v)
		}
	}
}

// encodedStruct collects the keys of a struct, or of a pointer to one, that is encoded as JSON.
func (c *collector) encodedStruct(t types.Type) {
	for {
		pointer, ok := t.(*types.Pointer)
		if !ok {
			break
		}
		t = pointer.Elem()
	}
	if _, ok := t.Underlying().(*types.Struct); ok {
		c.add("json", "%s", jsonShape(t, "json", nil))
	}
}

var metricPattern = regexp.MustCompile(`^"bitternmoor_[a-z_]+"$`)

func (c *collector) metricName(n *ast.BasicLit) {
	if n.Kind == token.STRING && metricPattern.MatchString(n.Value) {
		c.add("metric", "%s", strings.Trim(n.Value, `"`))
	}
}

var wordPattern = regexp.MustCompile(`^[a-z][a-z_]*$`)

// metricLabels collects the strings next to the name of a metric: the names and values of its labels.
func (c *collector) metricLabels(p *packages.Package, all []ast.Expr, name ast.Expr) {
	metricName, ok := constantString(p, name)
	if !ok || !strings.HasPrefix(metricName, "bitternmoor_") {
		return
	}
	for _, e := range all {
		ast.Inspect(e, func(n ast.Node) bool {
			if x, ok := n.(ast.Expr); ok {
				if v, ok := constantString(p, x); ok && wordPattern.MatchString(v) && v != metricName {
					c.add("label", "%s %s", metricName, v)
				}
			}
			return true
		})
	}
}

// compositeLiteral collects the names in a composite literal: commands, labels of metrics, names of counted
// events, values of JSON fields, and word lists of the wire protocol.
func (c *collector) compositeLiteral(p *packages.Package, n *ast.CompositeLit) {
	kind := p.TypesInfo.TypeOf(n)
	if kind == nil {
		return
	}
	var values []ast.Expr
	for _, e := range n.Elts {
		kv, ok := e.(*ast.KeyValueExpr)
		if !ok {
			values = append(values, e)
			continue
		}
		values = append(values, kv.Value)
		c.jsonValue(p, kind, kv.Key, kv.Value)
		if id, ok := kv.Key.(*ast.Ident); ok && id.Name == "Use" && strings.HasSuffix(kind.String(), "cobra.Command") {
			v, _ := constantString(p, kv.Value)
			c.add("command", "%s: %s", filepath.Base(p.PkgPath), v)
		}
	}
	for _, e := range values {
		c.metricLabels(p, values, e)
	}
	if strings.HasSuffix(p.PkgPath, "/wire") && kind.String() == "[]string" {
		c.wireWords(p, values)
	}
	_, row := kind.Underlying().(*types.Struct)
	if row && strings.HasSuffix(p.PkgPath, "/node") && len(values) == 2 {
		if v, ok := constantString(p, values[0]); ok && wordPattern.MatchString(v) {
			c.add("label", "bitternmoor_events_total %s", v)
		}
	}
}

// logAttributes collects the attribute keys of log lines: every other argument after the message.
func (c *collector) logAttributes(p *packages.Package, n *ast.CallExpr, name string) {
	if !slices.Contains([]string{"LogMessage", "emitLog", "Debug", "Info", "Warn", "Error"}, name) {
		return
	}
	sig, ok := p.TypesInfo.TypeOf(n.Fun).(*types.Signature)
	if !ok || !sig.Variadic() || sig.Params().Len() < 2 {
		return
	}
	first := sig.Params().Len() - 1
	for i := first; i < len(n.Args); i += 2 {
		if v, ok := constantString(p, n.Args[i]); ok {
			c.add("attr", "%s", v)
		}
	}
}

// answerTexts collects the names of HTTP headers, the reasons for deleting machines, and constant texts in
// responses to users, operators and peers.
func (c *collector) answerTexts(p *packages.Package, n *ast.CallExpr, receiver, name string) {
	header := receiver == "net/http.Header" && slices.Contains([]string{"Set", "Get", "Add", "Del", "Values"}, name)
	answer := slices.Contains([]string{"Decommission", "Unavailable", "ErrorBody"}, name)
	for i, arg := range n.Args {
		v, ok := constantString(p, arg)
		switch {
		case !ok || v == "":
		case header && i == 0:
			c.add("header", "%s", v)
		case answer:
			c.add("answer", "%q", v)
		}
	}
}

var fileNamePattern = regexp.MustCompile(`^"[a-z-]*\.(toml|ini|pem|key|log|json|jsonl|csv)"$`)

// fileName collects names and suffixes of files.
func (c *collector) fileName(n *ast.BasicLit) {
	if n.Kind == token.STRING && fileNamePattern.MatchString(n.Value) {
		c.add("file", "%s", strings.Trim(n.Value, `"`))
	}
}

// assignedValues collects constant strings that are assigned to fields with JSON tags.
func (c *collector) assignedValues(p *packages.Package, n *ast.AssignStmt) {
	if len(n.Lhs) != len(n.Rhs) {
		return
	}
	for i, left := range n.Lhs {
		if field, ok := left.(*ast.SelectorExpr); ok {
			if owner := p.TypesInfo.TypeOf(field.X); owner != nil {
				c.jsonValue(p, owner, field.Sel, n.Rhs[i])
			}
		}
	}
}

// jsonValue collects a constant string that is the value of a field with a JSON tag.
func (c *collector) jsonValue(p *packages.Package, owner types.Type, field, value ast.Expr) {
	if pointer, ok := owner.Underlying().(*types.Pointer); ok {
		owner = pointer.Elem()
	}
	u, ok := owner.Underlying().(*types.Struct)
	id, named := field.(*ast.Ident)
	v, isText := constantString(p, value)
	if !ok || !named || !isText || v == "" {
		return
	}
	for i := range u.NumFields() {
		key, _, _ := strings.Cut(reflect.StructTag(u.Tag(i)).Get("json"), ",")
		if u.Field(i).Name() == id.Name && key != "" && key != "-" {
			c.add("value", "%s=%q", key, v)
		}
	}
}

// enumerationWords collects the single words in a String method.
func (c *collector) enumerationWords(p *packages.Package, n *ast.FuncDecl) {
	if n.Name.Name != "String" || n.Recv == nil || n.Body == nil {
		return
	}
	ast.Inspect(n.Body, func(n ast.Node) bool {
		if literal, ok := n.(*ast.BasicLit); ok {
			if v, ok := constantString(p, literal); ok && wordPattern.MatchString(v) {
				c.add("value", "%q", v)
			}
		}
		return true
	})
}

// wireWords collects a word list of the platform's protocol. The position of a word is the number that it
// stands for.
func (c *collector) wireWords(p *packages.Package, values []ast.Expr) {
	var words []string
	for _, e := range values {
		if v, ok := constantString(p, e); ok && wordPattern.MatchString(v) {
			words = append(words, v)
		}
	}
	if len(words) > 0 {
		c.add("word", "%s", strings.Join(words, " "))
	}
}

// storedNumbers collects the numbers of enumerations that are stored or sent.
func (c *collector) storedNumbers() {
	for name, n := range map[string]int{
		"kind array": int(jobs.Array), "kind gang": int(jobs.Gang), "kind service": int(jobs.Service),
		"fleet unsaid": int(leadership.FleetUnspecified), "fleet listening": int(leadership.FleetReconciling), "fleet known": int(leadership.FleetKnown),
		"command start": int(workers.Start), "command stop": int(workers.Stop), "command reap": int(workers.Reap),
		"reason vanished": int(workers.Vanished), "reason completed": int(workers.Completed), "reason stopped": int(workers.Stopped),
		"reason peers lost": int(workers.PeersLost), "reason alone": int(workers.GangIncomplete), "reason failed": int(workers.Failed),
		"reason no room": int(workers.InsufficientResources), "reason busy": int(workers.Busy), "reason unknown task": int(workers.UnknownTask),
		"state queued": int(wire.Queued), "state running": int(wire.Running), "state done": int(wire.Done), "state cancelled": int(wire.Cancelled),
	} {
		c.add("number", "%s %d", name, n)
	}
	for n := range uint8(4) {
		c.add("number", "priority %s %d", wire.PriorityName(n), n)
	}
}

// labelWords collects words that are used as metric labels, in views for operators, or both.
func (c *collector) labelWords() {
	for diff := range reconcile.DiffCount {
		c.add("word", "difference %s: %s", diff, diff.Resolution())
	}
	for _, order := range []cluster.Action{cluster.StartNew, cluster.StartAgain, cluster.Rent, cluster.Return, cluster.Delete, cluster.Preempt, cluster.Move} {
		c.add("word", "order %s", order)
	}
	for _, step := range failover.Steps() {
		c.add("word", "step %s", step)
	}
}

// stateKeys collects keys of the state service.
func (c *collector) stateKeys() {
	for _, key := range []string{leadership.HolderKey, leadership.EpochKey, eventlog.SegmentKey(7), eventlog.ComponentValueKey("x", 3), eventlog.Prefix, eventlog.SizesPrefix, eventlog.ComponentValuesPrefix} {
		c.add("key", "%s", key)
	}
}

// deploymentKeys collects the keys of the file with which the deployment builds and runs the service.
func (c *collector) deploymentKeys() {
	raw, err := os.ReadFile("../../deploy/service.toml")
	if err != nil {
		c.t.Fatal(err)
	}
	key := regexp.MustCompile(`(?m)^([a-z_]+) *=`)
	for _, m := range key.FindAllStringSubmatch(string(raw), -1) {
		c.add("deploy", "%s", m[1])
	}
}

// settingsKeys collects the keys of the operators' settings from the INI files under deploy.
func (c *collector) settingsKeys() {
	files, err := filepath.Glob("../../deploy/*.ini*")
	if err != nil || len(files) < 5 {
		c.t.Fatalf("too few INI files under deploy: %v, error %v", files, err)
	}
	key := regexp.MustCompile(`^[;# ]*([a-z_]+) *=`)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			c.t.Fatal(err)
		}
		section := ""
		for line := range strings.Lines(string(raw)) {
			line = strings.TrimSpace(line)
			if strings.HasPrefix(line, "[") {
				section = strings.Fields(strings.Trim(line, "[]"))[0]
			} else if m := key.FindStringSubmatch(line); m != nil {
				c.add("ini", "%s.%s", section, m[1])
			}
		}
	}
}
