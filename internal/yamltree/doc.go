// Package yamltree reads YAML documents key by key and collects every fault
// with its line, so that a settings file is reported on as a whole.
//
// A reader asks a Map for its keys by name and type. Map.Close reports the keys
// that nobody asked for. Anchors, aliases, tags and merge keys are refused:
// settings need none of them.
package yamltree
