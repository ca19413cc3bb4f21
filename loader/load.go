package loader

import (
	"encoding/json"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"egretring.example/egretring/classifier"
)

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, classifier.Wrap(err, classifier.BadRequest, "read settings")
	}
	return Parse(file, text)
}

// Parse checks the text of a settings file. Its errors name the file, the line and the field.
func Parse(file string, text []byte) (Settings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return Settings{}, classifier.Wrap(err, classifier.BadRequest, "%s: settings are not JSON with comments", file)
	}
	p := parser{file: file, text: text, fields: Fields(), seen: make(map[string]bool)}
	if err := p.applyDefaults(); err != nil {
		return Settings{}, err
	}
	if err := p.parseObject("", root); err != nil {
		return Settings{}, err
	}
	if err := p.checkRequired(); err != nil {
		return Settings{}, err
	}
	return p.settings, p.checkCombinations()
}

type parser struct {
	file     string
	text     []byte
	fields   []Field
	seen     map[string]bool
	settings Settings
}

func (p *parser) applyDefaults() error {
	for _, field := range p.fields {
		if field.Required() {
			continue
		}
		if err := field.set(&p.settings, json.RawMessage(field.Default)); err != nil {
			return errors.Wrapf(err, "default of field %s", field.Path)
		}
	}
	return nil
}

func (p *parser) parseObject(prefix string, value hujson.Value) error {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return p.fieldError(value.StartOffset, prefix, "value is not an object", "an object")
	}
	for _, member := range object.Members {
		var name string
		if err := json.Unmarshal(member.Name.Value.(hujson.Literal), &name); err != nil {
			return p.fieldError(member.Name.StartOffset, prefix, "name is not a string", "a string")
		}
		if err := p.parseMember(prefix+name, member); err != nil {
			return err
		}
	}
	return nil
}

func (p *parser) parseMember(path string, member hujson.ObjectMember) error {
	if p.isGroup(path) {
		return p.parseObject(path+".", member.Value)
	}
	index := slices.IndexFunc(p.fields, func(f Field) bool { return f.Path == path })
	if index < 0 {
		return p.fieldError(member.Name.StartOffset, path, "field is unknown", "the fields of docs/operators/settings.md")
	}
	if p.seen[path] {
		return p.fieldError(member.Name.StartOffset, path, "field is set twice", "one value")
	}
	p.seen[path] = true
	field := p.fields[index]
	standard := member.Value.Clone()
	standard.Standardize()
	standard.Minimize()
	if err := field.set(&p.settings, json.RawMessage(standard.Pack())); err != nil {
		return p.fieldError(member.Value.StartOffset, path, err.Error(), field.Allowed)
	}
	return nil
}

func (p *parser) isGroup(path string) bool {
	return slices.ContainsFunc(p.fields, func(f Field) bool { return strings.HasPrefix(f.Path, path+".") })
}

func (p *parser) checkRequired() error {
	for _, field := range p.fields {
		if field.Required() && !p.seen[field.Path] {
			return p.fieldError(len(p.text), field.Path, "field is missing", field.Allowed)
		}
	}
	return nil
}

// checkCombinations checks the rules that apply to several fields together.
func (p *parser) checkCombinations() error {
	s := p.settings
	end := len(p.text)
	if !slices.Contains(s.Zones, s.AvailabilityZone) {
		return p.fieldError(end, "AvailabilityZone", "zone is not in Zones", strings.Join(s.Zones, ", "))
	}
	if s.DefaultTimeout > s.MaxTimeout {
		return p.fieldError(end, "DefaultTimeout", "value is above MaxTimeout", "at most "+s.MaxTimeout.String())
	}
	if (s.TLS.CallersCertificate == "") != (s.TLS.CallersKey == "") {
		return p.fieldError(end, "TLS.CallersKey", "certificate and key must be set together", "both or none")
	}
	internal := []string{s.TLS.InternalCertificate, s.TLS.InternalKey, s.TLS.InternalAuthorities}
	if slices.Contains(internal, "") && strings.Join(internal, "") != "" {
		return p.fieldError(end, "TLS.InternalCertificate",
			"InternalCertificate, InternalKey and InternalAuthorities must be set together", "all or none")
	}
	return nil
}

func (p *parser) fieldError(offset int, path, problem, allowed string) error {
	line := 1 + strings.Count(string(p.text[:min(offset, len(p.text))]), "\n")
	return classifier.New(classifier.BadRequest, "%s:%d: field %s: %s; allowed: %s", p.file, line, path, problem, allowed)
}
