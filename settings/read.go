package settings

import (
	"fmt"
	"net/netip"
	"slices"

	"mangohill.example/mangohill/internal/yamltree"
	"mangohill.example/mangohill/types"
)

// Keys of the settings file. Nested keys are dotted.
const (
	keyCluster       = "cluster"
	keyName          = "name"
	keyFailureDomain = "failure_domain"
	keyListen        = "listen"
	keyCallers       = "callers"
	keyPlatform      = "platform"
	keyOperators     = "operators"
	keyPeers         = "peers"
	keyEntries       = "entries"
	keyControl       = "control"
	keyData          = "data"
	keyLog           = "log"
	keyLevel         = "level"
	keyFormat        = "format"
	keyStopTimeout   = "stop_timeout"
)

var (
	topKeys    = []string{keyCluster, keyName, keyFailureDomain, keyListen, keyEntries, keyControl, keyData, keyLog, keyStopTimeout}
	listenKeys = []string{keyCallers, keyPlatform, keyOperators, keyPeers}
	logKeys    = []string{keyLevel, keyFormat}
	logLevels  = []string{"debug", "info", "warn", "error"}
	logFormats = []string{FormatJSON, FormatConsole}
)

// Keys returns every key that a settings file may contain. Nested keys are dotted.
func Keys() []string {
	var keys []string
	for _, key := range topKeys {
		switch key {
		case keyListen:
			keys = append(keys, nestedKeys(key, listenKeys)...)
		case keyLog:
			keys = append(keys, nestedKeys(key, logKeys)...)
		default:
			keys = append(keys, key)
		}
	}
	return keys
}

func nestedKeys(parent string, children []string) []string {
	keys := make([]string, 0, len(children))
	for _, child := range children {
		keys = append(keys, parent+"."+child)
	}
	return keys
}

func readSettings(root *yamltree.Map) *Settings {
	s := &Settings{}
	s.Cluster = readName(root, keyCluster)
	s.Name = readName(root, keyName)
	s.FailureDomain = readName(root, keyFailureDomain)
	s.Listen = readListen(root.Map(keyListen))
	s.Entries = readAddresses(root, keyEntries)
	s.Control = readAddresses(root, keyControl)
	s.Data, _ = root.Text(keyData)
	s.Log = readLog(root.Map(keyLog))
	s.StopTimeout = root.Duration(keyStopTimeout, DefaultStopTimeout)
	root.Close(topKeys...)
	return s
}

func readListen(m *yamltree.Map) Listen {
	listen := Listen{
		Callers:   readAddress(m, keyCallers),
		Platform:  readAddress(m, keyPlatform),
		Operators: readAddress(m, keyOperators),
		Peers:     readAddress(m, keyPeers),
	}
	firstKey := make(map[string]string, len(listenKeys))
	for _, key := range m.Names() {
		value := listen.address(key)
		if value == "" {
			continue
		}
		if earlier, ok := firstKey[value]; ok {
			m.Reject(key, "%s is also listen.%s", value, earlier)
		}
		firstKey[value] = key
	}
	m.Close(listenKeys...)
	return listen
}

func (l Listen) address(key string) string {
	switch key {
	case keyCallers:
		return l.Callers
	case keyPlatform:
		return l.Platform
	case keyOperators:
		return l.Operators
	case keyPeers:
		return l.Peers
	}
	return ""
}

func readLog(m *yamltree.Map) Log {
	log := Log{
		Level:  readOneOf(m, keyLevel, DefaultLogLevel, logLevels),
		Format: readOneOf(m, keyFormat, DefaultLogFormat, logFormats),
	}
	m.Close(logKeys...)
	return log
}

func readOneOf(m *yamltree.Map, key, fallback string, allowed []string) string {
	text, ok := m.Text(key)
	if !ok {
		return fallback
	}
	if !slices.Contains(allowed, text) {
		m.Reject(key, "%q is not one of %v", text, allowed)
		return fallback
	}
	return text
}

func readName(m *yamltree.Map, key string) string {
	text, ok := m.Text(key)
	if !ok {
		return ""
	}
	if text == "" {
		return "" // requireText reports the empty value.
	}
	if err := types.CheckName(text); err != nil {
		m.Reject(key, "%v", err)
	}
	return text
}

func readAddress(m *yamltree.Map, key string) string {
	text, ok := m.Text(key)
	if !ok {
		return ""
	}
	if err := checkAddress(text); err != nil {
		m.Reject(key, "%v", err)
		return ""
	}
	return text
}

func readAddresses(m *yamltree.Map, key string) []string {
	texts, lines := m.Texts(key)
	var list []string
	for i, text := range texts {
		element := fmt.Sprintf("%s[%d]", key, i)
		if err := checkAddress(text); err != nil {
			m.RejectAt(lines[i], element, "%v", err)
			continue
		}
		if slices.Contains(list, text) {
			m.RejectAt(lines[i], element, "%s is listed twice", text)
			continue
		}
		list = append(list, text)
	}
	return list
}

// checkAddress requires an IP address with a port, since the processes connect to each
// other by IP address.
func checkAddress(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not an IP address with a port such as 127.0.0.1:8080", text)
	}
	if parsed.Port() == 0 {
		return fmt.Errorf("%q has port 0, want 1 to 65535", text)
	}
	return nil
}
