package configsync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/rollout"
)

const (
	// maxCachedBodies is the maximum number of bodies in the cache. Operators switch between presets of three kinds, and
	// a decoded preset of 3,200 targets takes about 1 MB.
	maxCachedBodies = 6

	// maxBodyBytes is the size limit of a decompressed preset.
	maxBodyBytes = 16 << 20
)

// cachedBody is the body of a preset with its compressed form, which is created when a peer first needs it.
type cachedBody struct {
	preset     *entity.Preset
	compressed []byte
}

// bodyCache is an LRU cache of preset bodies.
type bodyCache struct {
	entries map[rollout.PresetRef]*cachedBody
	order   []rollout.PresetRef // least recently used first
}

func newBodyCache() bodyCache { return bodyCache{entries: make(map[rollout.PresetRef]*cachedBody)} }

// get returns the body of a preset, or nil if it is not cached.
func (b *bodyCache) get(ref rollout.PresetRef) *cachedBody {
	found := b.entries[ref]
	if found != nil {
		b.touch(ref)
	}
	return found
}

func (b *bodyCache) put(ref rollout.PresetRef, preset *entity.Preset) {
	if b.entries[ref] == nil {
		b.entries[ref] = &cachedBody{preset: preset}
	}
	b.touch(ref)
	if len(b.order) > maxCachedBodies {
		delete(b.entries, b.order[0])
		b.order = b.order[1:]
	}
}

func (b *bodyCache) touch(ref rollout.PresetRef) {
	order := make([]rollout.PresetRef, 0, len(b.order)+1)
	for _, other := range b.order {
		if other != ref {
			order = append(order, other)
		}
	}
	b.order = append(order, ref)
}

// compress returns the preset as JSON compressed with gzip.
func (b *cachedBody) compress() ([]byte, error) {
	if b.compressed != nil {
		return b.compressed, nil
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(b.preset); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "compress preset")
	}
	if err := writer.Close(); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "compress preset")
	}
	b.compressed = buffer.Bytes()
	return b.compressed, nil
}

func decompress(compressed []byte) (*entity.Preset, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "decompress preset")
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxBodyBytes))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "decompress preset")
	}
	preset := new(entity.Preset)
	if err := json.Unmarshal(content, preset); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "decode preset")
	}
	return preset, nil
}
