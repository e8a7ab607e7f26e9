package settings

import (
	"net"

	"bitternmoor/internal/operators/certs"
)

// Operators configures the listener on which operators make changes, and the rights of its users.
type Operators struct {
	Listen   string // host:port; empty: no listener
	CertFile string
	KeyFile  string
	CAFile   string
	Read     []string // names of certificates that may read
	Operate  []string // names of certificates that may also change pools and the configuration
	Admin    []string // names of certificates that may do everything
}

// Operators returns the configuration of the operators' listener.
func (t *Tunables) Operators() Operators {
	return Operators{
		Listen: t.OperatorsListen, CertFile: t.OperatorsCert, KeyFile: t.OperatorsKey, CAFile: t.OperatorsCA,
		Read: SplitList(t.OperatorsRead), Operate: SplitList(t.OperatorsOperate), Admin: SplitList(t.OperatorsAdmin),
	}
}

// checkOperators returns an error for the first missing or invalid setting of the operators' listener, if
// there is one.
func (t *Tunables) checkOperators() error {
	o := t.Operators()
	if o.Listen == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(o.Listen); err != nil {
		return newFieldError("operators.listen", "not host:port: %q", o.Listen)
	}
	files := []struct{ key, value string }{{"cert_file", o.CertFile}, {"key_file", o.KeyFile}, {"ca_file", o.CAFile}}
	for _, file := range files {
		if file.value == "" {
			return newFieldError("operators."+file.key, "missing: the operators' listener requires certificates")
		}
	}
	pair := certs.Files{Cert: o.CertFile, Key: o.KeyFile, CA: o.CAFile}
	if _, err := pair.Read(); err != nil {
		return newFieldError("operators.cert_file", "%v", err)
	}
	if len(o.Operate)+len(o.Admin) == 0 {
		return newFieldError("operators.operate", "empty, like operators.admin: no certificate would be allowed to change anything")
	}
	return nil
}
