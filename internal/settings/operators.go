package settings

import (
	"net"

	"bitternmoor/internal/operators/certs"
)

// Operators is the listener on which operators change things, and who may do what there.
type Operators struct {
	Listen   string // host:port; empty: nowhere
	CertFile string
	KeyFile  string
	CAFile   string
	Read     []string // names of certificates
	Operate  []string
	Admin    []string
}

// Operators is the operators' listener, as the settings describe it.
func (t *Tunables) Operators() Operators {
	return Operators{
		Listen: t.OperatorsListen, CertFile: t.OperatorsCert, KeyFile: t.OperatorsKey, CAFile: t.OperatorsCA,
		Read: List(t.OperatorsRead), Operate: List(t.OperatorsOperate), Admin: List(t.OperatorsAdmin),
	}
}

// checkOperators says what is missing or wrong where there is a listener for operators.
func (t *Tunables) checkOperators() error {
	o := t.Operators()
	if o.Listen == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(o.Listen); err != nil {
		return wrong("operators.listen", "not host:port: %q", o.Listen)
	}
	files := []struct{ key, value string }{{"cert_file", o.CertFile}, {"key_file", o.KeyFile}, {"ca_file", o.CAFile}}
	for _, file := range files {
		if file.value == "" {
			return wrong("operators."+file.key, "missing: the operators' listener takes nobody without a certificate")
		}
	}
	pair := certs.Files{Cert: o.CertFile, Key: o.KeyFile, CA: o.CAFile}
	if _, err := pair.Read(); err != nil {
		return wrong("operators.cert_file", "%v", err)
	}
	if len(o.Operate)+len(o.Admin) == 0 {
		return wrong("operators.operate", "names nobody, and neither does operators.admin: nothing could be changed")
	}
	return nil
}
