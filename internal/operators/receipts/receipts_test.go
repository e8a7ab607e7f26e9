package receipts

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestReceipts checks that a receipt signed with any of the valid keys is accepted until it expires, and
// that one that was changed, is unsigned or was signed with another key is rejected.
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
	two, err := Read([]string{b, a}) // the key was rotated, and the old one is still valid
	if err != nil {
		t.Fatal(err)
	}
	got, key, err := two.Verify(token, now.Add(30*time.Second))
	if err != nil || key != one[0].ID || len(got.Units) != 1 {
		t.Fatalf("%+v %s %v", got, key, err)
	}
	if got.Subject != "j-000001/0" || got.Attempt != 9 || got.Units[0].Numbers[1] != 4 {
		t.Errorf("%+v", got)
	}
	other, err := Read([]string{b})
	if err != nil {
		t.Fatal(err)
	}
	unsigned := "eyJhbGciOiJub25lIn0." + strings.Split(token, ".")[1] + "."
	for _, c := range []struct {
		name, receipt string
		keys          Keys
		at            time.Time
	}{
		{"late", token, two, now.Add(2 * time.Minute)},
		{"changed", strings.Replace(token, ".", ".e", 1), two, now},
		{"another key", token, other, now},
		{"no signature", unsigned, two, now},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, _, err := c.keys.Verify(c.receipt, c.at); err == nil {
				t.Error("the receipt was accepted")
			}
		})
	}
	if _, err := Read([]string{file("short", "abc")}); err == nil || !strings.Contains(err.Error(), "short") {
		t.Errorf("a short key: %v", err)
	}
	if _, err := Keys(nil).Sign(c, now, time.Minute); err == nil {
		t.Error("signed without a key")
	}
}
