package eventlog

import (
	"encoding/json"
	"fmt"
)

// ComponentValuesPrefix is the prefix of the keys of values that components store outside the log with
// Log.AppendWithValue. Unlike the log, these need not be read before a term begins.
const ComponentValuesPrefix = "own/"

// ComponentValue is a component's value as read from the state service.
type ComponentValue struct {
	Key  string
	Data json.RawMessage
}

// ComponentValuePrefix returns the prefix of the keys of a component's values.
func ComponentValuePrefix(component string) string { return ComponentValuesPrefix + component + "/" }

// ComponentValueKey returns the key of the component's value with a number.
func ComponentValueKey(component string, number int) string {
	return fmt.Sprintf("%s%06d", ComponentValuePrefix(component), number)
}

// ComponentValueNumber returns the number of the component's value with a key.
func ComponentValueNumber(component, key string) (int, error) {
	return keyNumber(key, ComponentValuePrefix(component))
}
