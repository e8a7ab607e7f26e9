// Package settings reads and validates the settings with which a controller is started: the platform's TOML
// file (Platform) and the operators' optional INI file (Tunables). The rest of the program treats them as
// read-only, except that some tunables may change while controllers run (see EffectOfChange).
package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gopkg.in/ini.v1"
)

// Settings holds all settings of a controller.
type Settings struct {
	Platform
	Tunables   Tunables
	WebhookKey []byte // key that signs warnings; nil: there is no webhook
}

// FieldError names an invalid setting and gives the reason in one line.
type FieldError struct {
	Field string
	Why   string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

// newFieldError returns a FieldError. why is the format of its reason.
func newFieldError(field, why string, args ...any) error {
	return &FieldError{Field: field, Why: fmt.Sprintf(why, args...)}
}

// checkPushDispatches checks that the calls that start tasks directly use at most a quarter of the file
// descriptors.
func (s *Settings) checkPushDispatches() error {
	most := s.Deployment.MachineLimits.FDLimit / 4
	if s.Tunables.MaxPushDispatches > most {
		return newFieldError("exceptions.direct_starts",
			"must be at most a quarter of deployment.machine_limits.fd_limit, %d, is %d", most, s.Tunables.MaxPushDispatches)
	}
	return nil
}

// Load reads and validates the platform's file and, unless iniPath is empty, the operators' file. set holds
// operators' settings of the form SECTION.KEY=VALUE, which override those of the file. An invalid setting
// gives a *FieldError.
func Load(path, iniPath string, set ...string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{}
	if err := toml.Unmarshal(raw, &s.Platform); err != nil {
		return nil, newFieldError(path, "not valid TOML: %s", firstLine(err.Error()))
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	s.Tunables = Defaults()
	if iniPath == "" && len(set) == 0 {
		return s, nil
	}
	file, err := readINI(iniPath, set)
	if err != nil {
		return nil, err
	}
	if err := s.readTunables(file); err != nil {
		return nil, err
	}
	return s, nil
}

// readINI reads the operators' file, if there is one, and overrides it with the settings of the command
// line.
func readINI(path string, set []string) (*ini.File, error) {
	file := ini.Empty()
	if path != "" {
		var err error
		file, err = ini.Load(path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("settings: %w", err)
		}
		if err != nil {
			return nil, newFieldError(path, "not valid INI: %s", firstLine(err.Error()))
		}
	}
	for _, assignment := range set {
		name, value, hasValue := strings.Cut(assignment, "=")
		section, key, dotted := strings.Cut(name, ".")
		if !hasValue || !dotted || section == "" || key == "" {
			return nil, newFieldError(assignment, "not of the form SECTION.KEY=VALUE")
		}
		file.Section(section).Key(key).SetValue(value)
	}
	return file, nil
}

// readTunables reads the operators' settings, checks them against the platform's settings, and reads the
// secret key files that they name.
func (s *Settings) readTunables(file *ini.File) error {
	if err := s.Tunables.read(file); err != nil {
		return err
	}
	if err := s.checkPools(); err != nil {
		return err
	}
	if err := s.checkPushDispatches(); err != nil {
		return err
	}
	for _, path := range s.Tunables.ReceiptKeys() {
		if _, err := readSecret("pools.receipt_keys", path); err != nil {
			return err
		}
	}
	key, err := s.Tunables.webhookKey()
	if err != nil {
		return err
	}
	s.WebhookKey = key
	return nil
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
