package settings

import (
	"encoding/hex"
	"fmt"
	"os"
	"slices"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// sha256HexLength is the length of a SHA-256 hash in hexadecimal.
const sha256HexLength = 64

// LoadPreset reads and checks the preset file at path. The error is a Problems that lists every mistake, or the error
// of reading the file.
func LoadPreset(path string) (*entity.Preset, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read preset: %w", err)
	}
	return ParsePreset(path, content)
}

// ParsePreset decodes and checks the content of a preset file; file is the name to use in messages.
func ParsePreset(file string, content []byte) (*entity.Preset, error) {
	var preset entity.Preset
	doc := decode(file, content, &preset)
	if len(doc.problems) == 0 {
		checkPreset(doc, &preset)
	}
	if err := doc.err(); err != nil {
		return nil, err
	}
	return &preset, nil
}

// CheckPreset checks a preset that did not come from a file. The error has the kind errkind.BadRequest and lists every
// mistake with its field.
func CheckPreset(preset *entity.Preset) error {
	doc := &document{file: "preset", offsets: make(map[string]int)}
	checkPreset(doc, preset)
	if err := doc.err(); err != nil {
		return errkind.New(errkind.BadRequest, "%s", err.Error())
	}
	return nil
}

func checkPreset(doc *document, p *entity.Preset) {
	requireText(doc, "name", p.Name)
	checkOneOf(doc, "kind", p.Kind, entity.OrdinaryPreset, entity.PeakPreset, entity.MaintenancePreset)
	checkOneOf(doc, "objective", p.Objective, entity.ThroughputObjective, entity.RecoveryObjective)
	checkModels(doc, p.Models)
	checkServices(doc, p.Services)
	checkTargets(doc, p)
	checkAccounts(doc, p.Accounts)
	checkPositive(doc, "limits.queue_length", p.Limits.QueueLength)
	checkPositive(doc, "limits.body_bytes", p.Limits.BodyBytes)
	checkPositive(doc, "limits.timeout_seconds", p.Limits.TimeoutSeconds)
}

func checkModels(doc *document, models []entity.Model) {
	ids := make([]entity.ModelID, len(models))
	for i, model := range models {
		field := fmt.Sprintf("models[%d]", i)
		ids[i] = model.ID
		requireText(doc, field+".id", string(model.ID))
		checkPositive(doc, field+".layers", model.Layers)
		checkPositive(doc, field+".max_tokens", model.MaxTokens)
	}
	checkUnique(doc, "models", ".id", ids)
}

func checkServices(doc *document, services []entity.Service) {
	ids := make([]entity.ServiceID, len(services))
	for i, service := range services {
		field := fmt.Sprintf("services[%d]", i)
		ids[i] = service.ID
		requireText(doc, field+".id", string(service.ID))
		checkPositive(doc, field+".timeout_seconds", service.TimeoutSeconds)
		for j, call := range service.Idempotent {
			requireText(doc, fmt.Sprintf("%s.idempotent[%d].method", field, j), call.Method)
		}
	}
	checkUnique(doc, "services", ".id", ids)
}

func checkTargets(doc *document, p *entity.Preset) {
	ids := make([]entity.TargetID, len(p.Targets))
	for i, target := range p.Targets {
		ids[i] = target.ID
		checkTarget(doc, fmt.Sprintf("targets[%d]", i), p, target)
	}
	checkUnique(doc, "targets", ".id", ids)
}

func checkTarget(doc *document, field string, p *entity.Preset, target entity.Target) {
	requireText(doc, field+".id", string(target.ID))
	requireText(doc, field+".zone", string(target.Zone))
	checkURL(doc, field+".url", target.URL)
	checkOneOf(doc, field+".kind", target.Kind, entity.EngineTarget, entity.ServiceTarget)
	switch target.Kind {
	case entity.EngineTarget:
		checkEngine(doc, field, p.Models, target)
	case entity.ServiceTarget:
		known := func(s entity.Service) bool { return s.ID == target.Service }
		if !slices.ContainsFunc(p.Services, known) {
			doc.reportf(field+".service", "service %q is not in services", target.Service)
		}
	}
}

func checkEngine(doc *document, field string, models []entity.Model, target entity.Target) {
	position := slices.IndexFunc(models, func(m entity.Model) bool { return m.ID == target.Model })
	if position < 0 {
		doc.reportf(field+".model", "model %q is not in models", target.Model)
		return
	}
	layers := models[position].Layers
	if target.Layers.From < 0 || target.Layers.From >= target.Layers.To || target.Layers.To > layers {
		doc.reportf(field+".layers", "range [%d, %d) does not lie within the %d layers of model %q",
			target.Layers.From, target.Layers.To, layers, target.Model)
	}
}

func checkAccounts(doc *document, accounts []entity.Account) {
	ids := make([]entity.AccountID, len(accounts))
	owners := make(map[string]entity.AccountID)
	for i, account := range accounts {
		field := fmt.Sprintf("accounts[%d]", i)
		ids[i] = account.ID
		requireText(doc, field+".id", string(account.ID))
		checkPositive(doc, field+".weight", account.Weight)
		if len(account.KeySHA256) == 0 {
			doc.report(field+".key_sha256", "at least one key hash is required")
		}
		for j, hash := range account.KeySHA256 {
			keyField := fmt.Sprintf("%s.key_sha256[%d]", field, j)
			if _, err := hex.DecodeString(hash); err != nil || len(hash) != sha256HexLength {
				doc.report(keyField, "must be a SHA-256 hash in lower-case hexadecimal")
			}
			if owner, ok := owners[hash]; ok {
				doc.reportf(keyField, "key is already used by account %q", owner)
			}
			owners[hash] = account.ID
		}
	}
	checkUnique(doc, "accounts", ".id", ids)
}

func checkPositive[T int | int64 | float64](doc *document, field string, value T) {
	if value <= 0 {
		doc.report(field, "must be greater than 0")
	}
}

func checkOneOf[T ~string](doc *document, field string, value T, allowed ...T) {
	if !slices.Contains(allowed, value) {
		doc.reportf(field, "must be one of %v, not %q", allowed, value)
	}
}
