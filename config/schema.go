package config

import (
	"bytes"
	_ "embed" // for schemaJSON
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/google/jsonschema-go/jsonschema"
)

//go:embed schema.json
var schemaJSON []byte

// validate checks an operators' settings file against the schema. The error names every invalid
// section.
func validate(raw []byte) error {
	var schema jsonschema.Schema
	if err := json.Unmarshal(schemaJSON, &schema); err != nil {
		return fmt.Errorf("embedded schema: %w", err)
	}
	document, err := decodeDocument(raw)
	if err != nil {
		return err
	}
	resolved, err := schema.Resolve(nil)
	if err != nil {
		return fmt.Errorf("embedded schema: %w", err)
	}
	firstErr := resolved.Validate(document)
	if firstErr == nil {
		return nil
	}
	messages, err := validateSections(&schema, document)
	if err != nil {
		return err
	}
	if len(messages) == 0 {
		messages = []string{firstErr.Error()}
	}
	return errors.New(strings.ReplaceAll(strings.Join(messages, "; "), "/properties", ""))
}

// decodeDocument decodes a single JSON value and rejects trailing data.
func decodeDocument(raw []byte) (document any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(&document); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected data after the settings")
	}
	return document, nil
}

// validateSections validates each section of a document on its own and returns a message for each
// invalid one. Validating the whole document reports only one of them.
func validateSections(schema *jsonschema.Schema, document any) (messages []string, err error) {
	sections, _ := document.(map[string]any)
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		section := (&jsonschema.Schema{Properties: schema.Properties, AdditionalProperties: schema.AdditionalProperties}).CloneSchemas()
		resolved, err := section.Resolve(nil)
		if err != nil {
			return nil, fmt.Errorf("embedded schema: %w", err)
		}
		if err := resolved.Validate(map[string]any{name: sections[name]}); err != nil {
			messages = append(messages, err.Error())
		}
	}
	return messages, nil
}
