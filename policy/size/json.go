package size

import (
	"encoding/json"
	"fmt"
	"math"
)

// milliPerCore converts between cores, the external unit, and thousandths of a core, the internal one.
const milliPerCore = 1000

// object is the JSON form of a size, as in the API and in traces: cores, MiB, devices.
type object struct {
	Processors   float64 `json:"processors"`
	Memory       int64   `json:"memory"`
	Accelerators int64   `json:"accelerators"`
}

// MarshalJSON writes the size as an object with processors in cores.
func (sz Size) MarshalJSON() ([]byte, error) {
	return json.Marshal(object{
		Processors: float64(sz[Processors]) / milliPerCore, Memory: sz[Memory], Accelerators: sz[Accelerators],
	})
}

// UnmarshalJSON reads the format of MarshalJSON.
func (sz *Size) UnmarshalJSON(raw []byte) error {
	var ob object
	if err := json.Unmarshal(raw, &ob); err != nil {
		return fmt.Errorf("read size: %w", err)
	}
	*sz = Size{int64(math.Round(ob.Processors * milliPerCore)), ob.Memory, ob.Accelerators}
	return nil
}
