package document

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Schema returns the JSON schema of a document, as published in docs/document.schema.json.
//
// It can't express constraints between two keys, such as deadline.default <= deadline.max; Validate checks those.
func Schema() []byte {
	root := schemaOf("", reflect.ValueOf(Default()))
	root["$schema"] = "https://json-schema.org/draft/2020-12/schema"
	root["title"] = "Document of a guavaspring service"
	root["required"] = []string{"service"}
	b, err := json.MarshalIndent(root, "", "  ")
	if err != nil {
		panic(fmt.Sprintf("document: the schema can't be encoded: %v", err))
	}
	return append(b, '\n')
}

func schemaOf(key string, v reflect.Value) map[string]any {
	t := v.Type()
	switch {
	case t == reflect.TypeFor[Duration]():
		return map[string]any{"type": "string", "pattern": `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`, "default": v.Interface()}
	case t.Kind() == reflect.Struct:
		props := map[string]any{}
		for i, f := range fieldsOf(t) {
			props[f.name] = schemaOf(join(key, f.name), v.Field(i))
		}
		return map[string]any{"type": "object", "additionalProperties": false, "properties": props}
	}
	s := map[string]any{"type": map[reflect.Kind]string{reflect.Int: "integer", reflect.Float64: "number", reflect.Bool: "boolean", reflect.String: "string"}[t.Kind()]}
	if key != "service" {
		s["default"] = v.Interface()
	}
	if b, ok := bounds[key]; ok {
		s["minimum"], s["maximum"] = b[0], b[1]
	}
	switch key {
	case "service":
		s["pattern"] = validName.String()
	case "prefer":
		s["enum"] = []Preference{PreferLatency, PreferCoverage}
	case "upstream.entry_hosts":
		s["minimum"] = 1
	case "admission.caller_share":
		s["exclusiveMinimum"], s["maximum"] = 0, 1
	}
	return s
}
