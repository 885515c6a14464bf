package config

import (
	"bytes"
	_ "embed" // of the schema
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

// validate checks an operators' settings file against the schema. Its error names every section that
// is invalid.
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

// decodeDocument decodes a JSON value with nothing after it.
func decodeDocument(raw []byte) (document any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(&document); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("something after the settings")
	}
	return document, nil
}

// validateSections validates each section of a document alone, and returns the messages of those that
// are invalid. The validation of the whole document stops at any one of them.
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
