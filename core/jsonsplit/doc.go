// Package jsonsplit finds the parts of JSON arrays and objects without decoding them.
//
// Package encoding/json scans a whole value before it decodes any part of it, so that one part that is nested too deeply,
// or malformed, fails all others. Here the parts are delimited by their brackets and strings alone, and each can be decoded
// by itself. The memory that this takes doesn't depend on how deeply the parts are nested.
package jsonsplit
