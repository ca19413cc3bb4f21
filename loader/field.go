package loader

import (
	"encoding/json"
	"math"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Field describes one field of the settings.
type Field struct {
	// Path is the name of the field, with dots between the levels.
	Path string
	// Unit is the unit or form of the value.
	Unit string
	// Default is the value of a field that is not set; it is empty for a required field.
	Default string
	// Allowed describes the values that are allowed.
	Allowed string
	// Purpose says what the field is for.
	Purpose string

	set func(settings *Settings, value json.RawMessage) error
}

// Required reports whether the field must be set.
func (f Field) Required() bool {
	return f.Default == ""
}

func textField(field Field, target func(*Settings) *string, check func(string) error) Field {
	field.set = func(settings *Settings, value json.RawMessage) error {
		var text string
		if err := json.Unmarshal(value, &text); err != nil {
			return errors.New("value is not a string")
		}
		if err := check(text); err != nil {
			return err
		}
		*target(settings) = text
		return nil
	}
	return field
}

func listField(field Field, target func(*Settings) *[]string, check func(string) error) Field {
	field.set = func(settings *Settings, value json.RawMessage) error {
		var texts []string
		if err := json.Unmarshal(value, &texts); err != nil {
			return errors.New("value is not a list of strings")
		}
		for _, text := range texts {
			if err := check(text); err != nil {
				return err
			}
		}
		*target(settings) = texts
		return nil
	}
	return field
}

func durationField(field Field, target func(*Settings) *time.Duration, minimum, maximum time.Duration) Field {
	field.Unit = "duration, such as 250ms or 10s"
	field.Allowed = minimum.String() + " to " + maximum.String()
	field.set = func(settings *Settings, value json.RawMessage) error {
		var text string
		if err := json.Unmarshal(value, &text); err != nil {
			return errors.New("value is not a string with a duration")
		}
		duration, err := time.ParseDuration(text)
		if err != nil {
			return errors.Errorf("%q is not a duration", text)
		}
		if duration < minimum || duration > maximum {
			return errors.Errorf("%s is out of range", duration)
		}
		*target(settings) = duration
		return nil
	}
	return field
}

func numberField(field Field, set func(*Settings, float64), minimum, maximum float64, whole bool) Field {
	field.set = func(settings *Settings, value json.RawMessage) error {
		var number float64
		if err := json.Unmarshal(value, &number); err != nil {
			return errors.New("value is not a number")
		}
		if whole && number != math.Trunc(number) {
			return errors.Errorf("%v is not a whole number", number)
		}
		if number < minimum || number > maximum {
			return errors.Errorf("%v is out of range", number)
		}
		set(settings, number)
		return nil
	}
	return field
}

func checkName(text string) error {
	if text == "" || len(text) > maxNameBytes {
		return errors.Errorf("name has %d bytes", len(text))
	}
	for _, r := range text {
		if !strings.ContainsRune(nameCharacters, r) {
			return errors.Errorf("name %q contains %q", text, r)
		}
	}
	return nil
}

func checkAddress(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.Errorf("%q is not an IP address with a port", text)
	}
	return nil
}

func checkURL(text string) error {
	parsed, err := url.Parse(text)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return errors.Errorf("%q is not an http or https URL", text)
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		return errors.Errorf("host %q is not an IP address with a port", parsed.Host)
	}
	return nil
}

func checkFile(text string) error {
	if text == "" {
		return nil
	}
	info, err := os.Stat(text)
	if err != nil {
		return errors.Errorf("file %q cannot be read", text)
	}
	if info.IsDir() {
		return errors.Errorf("%q is a directory", text)
	}
	return nil
}

func checkLevel(text string) error {
	switch text {
	case "Debug", "Info", "Warn", "Error":
		return nil
	}
	return errors.Errorf("level %q is unknown", text)
}
