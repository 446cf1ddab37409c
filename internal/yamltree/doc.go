// Package yamltree reads YAML documents key by key and collects every fault with
// its line, so that all faults of a settings file are reported at once.
//
// Callers read the keys of a Map by name and type. Map.Close reports the keys that
// were not read. Anchors, aliases, tags and merge keys are refused: settings need
// none of them.
package yamltree
