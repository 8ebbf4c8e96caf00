// Package storemsg defines the request and response bodies of the platform's key-value service as the
// stand-in store implements it: JSON over HTTP, with values in base64.
package storemsg

// HTTP paths of the service. Put and Lease count as writes, Get and Watch as reads.
const (
	GetPath   = "/v1/get"
	PutPath   = "/v1/put"
	LeasePath = "/v1/lease"
	WatchPath = "/v1/watch"
)

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// Item is a key with its value. Version is the store's revision at the key's last change, or 0 if the
// key does not exist.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// GetRequest reads one key or all keys with a prefix.
type GetRequest struct {
	Key    string `json:"key,omitempty"`
	Prefix string `json:"prefix,omitempty"`
}

// ItemsResponse is the response to a get or a watch. Compacted means that the store no longer has all
// changes after the watch's revision, so the caller must read all items again.
type ItemsResponse struct {
	Items     []Item `json:"items"`
	Revision  uint64 `json:"revision"`
	Compacted bool   `json:"compacted,omitempty"`
}

// PutRequest changes a key if its version equals Version.
type PutRequest struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Delete  bool   `json:"delete,omitempty"`
	Lease   string `json:"lease,omitempty"`
}

// PutResponse states whether the change was made and contains the key's current item.
type PutResponse struct {
	OK   bool `json:"ok"`
	Item Item `json:"item"`
}

// LeaseRequest creates a lease, or renews the one with the given ID. TTL is in milliseconds.
type LeaseRequest struct {
	ID  string `json:"id,omitempty"`
	TTL int64  `json:"ttl_ms"`
}

// LeaseResponse identifies the lease. TTL is in milliseconds.
type LeaseResponse struct {
	ID  string `json:"id"`
	TTL int64  `json:"ttl_ms"`
}

// WatchRequest waits for up to Wait milliseconds for changes under a prefix after a revision.
type WatchRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	Wait   int64  `json:"wait_ms"`
}
