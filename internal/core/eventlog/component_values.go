package eventlog

import (
	"encoding/json"
	"fmt"
)

// ComponentValuesPrefix is where the keys of values begin that components keep beside the log, written by
// Log.AppendWithValue. Unlike the log they need not be read before a term begins.
const ComponentValuesPrefix = "own/"

// ComponentValue is a component's value as it is read back.
type ComponentValue struct {
	Key  string
	Data json.RawMessage
}

// ComponentValuePrefix is where the keys of a component's values begin.
func ComponentValuePrefix(component string) string { return ComponentValuesPrefix + component + "/" }

// ComponentValueKey is the key of the component's value with a number.
func ComponentValueKey(component string, number int) string {
	return fmt.Sprintf("%s%06d", ComponentValuePrefix(component), number)
}

// ComponentValueNumber is the number of the component's value with a key.
func ComponentValueNumber(component, key string) (int, error) {
	return keyNumber(key, ComponentValuePrefix(component))
}
