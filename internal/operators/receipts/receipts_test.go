package receipts

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A receipt is good until its time is over, with any of the keys that are good; one
// that was changed, or signed with another key, is not.
func TestReceipts(t *testing.T) {
	dir := t.TempDir()
	file := func(name, key string) string {
		p := filepath.Join(dir, name)
		if err := os.WriteFile(p, []byte(key), 0o600); err != nil {
			t.Fatal(err)
		}
		return p
	}
	a, b := file("a", "0123456789abcdef\n"), file("b", "fedcba9876543210")
	one, err := Read([]string{a})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_800_000_000, 0)
	c := Claims{Attempt: 9, Epoch: 3, Units: []PoolUnits{{Pool: "p", Numbers: []int64{1, 4}}}}
	c.Subject = "j-000001/0"
	token, err := one.Sign(c, now, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	two, err := Read([]string{b, a}) // the key was changed, and the old one is good yet
	if err != nil {
		t.Fatal(err)
	}
	got, key, err := two.Verify(token, now.Add(30*time.Second))
	if err != nil || got.Subject != "j-000001/0" || got.Attempt != 9 || len(got.Units) != 1 || got.Units[0].Numbers[1] != 4 || key != one[0].ID {
		t.Errorf("%+v %s %v", got, key, err)
	}
	late, changed := now.Add(2*time.Minute), strings.Replace(token, ".", ".e", 1)
	other, _ := Read([]string{b})
	for name, err := range map[string]error{"late": second(two.Verify(token, late)), "changed": second(two.Verify(changed, now)), "another key": second(other.Verify(token, now)),
		"no signature": second(two.Verify("eyJhbGciOiJub25lIn0."+strings.Split(token, ".")[1]+".", now))} {
		if err == nil {
			t.Errorf("%s: it is taken", name)
		}
	}
	if _, err := Read([]string{file("short", "abc")}); err == nil || !strings.Contains(err.Error(), "short") {
		t.Errorf("a short key: %v", err)
	}
	if _, err := Keys(nil).Sign(c, now, time.Minute); err == nil {
		t.Error("signed without a key")
	}
}

func second(_ Claims, _ string, err error) error { return err }
