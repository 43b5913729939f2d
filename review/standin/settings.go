package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
)

// settingsPath is where the deploy file expects the settings of a node.
const settingsPath = "/etc/goldcrestshed/local.json"

var (
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
	section     = regexp.MustCompile(`(?s)\{\{([#^])([a-z_]+)\}\}(.*?)\{\{/[a-z_]+\}\}`)
	runLine     = regexp.MustCompile(`(?m)^run = "(.*)"$`)
)

// renderSettings fills the template of the settings with values. A section is kept
// or dropped by a value that is true or false.
func renderSettings(template string, values map[string]any) (string, error) {
	text := section.ReplaceAllStringFunc(template, func(match string) string {
		part := section.FindStringSubmatch(match)
		on, _ := values[part[2]].(bool)
		if on == (part[1] == "#") {
			return part[3]
		}
		return ""
	})
	var missing []string
	text = placeholder.ReplaceAllStringFunc(text, func(match string) string {
		part := placeholder.FindStringSubmatch(match)
		v, ok := values[part[1]]
		if !ok {
			missing = append(missing, part[1])
			return ""
		}
		if part[2] == "" {
			return fmt.Sprint(v)
		}
		data, err := json.Marshal(v)
		if err != nil {
			missing = append(missing, part[1])
		}
		return string(data)
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("the template names values that are not set: %v", missing)
	}
	return text, nil
}

// nodeCommand returns the command of the deploy file with the path of the settings
// replaced.
func nodeCommand(settingsFile string) ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(data)
	if match == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	return strings.Fields(strings.ReplaceAll(string(match[1]), settingsPath, settingsFile)), nil
}
