package confstore

import (
	"context"
	"encoding/json"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
)

// writeSnapshot stores a configuration in parts and returns their number. It is
// idempotent, because the keys of the parts contain the version.
func (s *Store) writeSnapshot(ctx context.Context, cfg *conf.Config) (int, error) {
	parts, err := splitSnapshot(cfg)
	if err != nil {
		return 0, err
	}
	for i, data := range parts {
		if _, err := s.kv.CompareAndSwap(ctx, partKey(cfg.Version, i), data, 0); err != nil {
			return 0, err
		}
	}
	return len(parts), nil
}

// splitSnapshot encodes a configuration as JSON parts of about maxPartBytes at
// most. Only services are split; everything else is in the first part, since its
// size does not grow with the number of services.
func splitSnapshot(cfg *conf.Config) ([][]byte, error) {
	base := *cfg
	base.Services = nil
	baseData, err := json.Marshal(base)
	if err != nil {
		return nil, err
	}
	parts := [][]byte{baseData}
	part := conf.Config{Version: cfg.Version, ChangeID: cfg.ChangeID}
	size := 0
	flush := func() error {
		data, err := json.Marshal(part)
		parts = append(parts, data)
		part.Services, size = nil, 0
		return err
	}
	for _, svc := range cfg.Services {
		encoded, err := json.Marshal(svc)
		if err != nil {
			return nil, err
		}
		if size+len(encoded) > maxPartBytes && size > 0 {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		part.Services = append(part.Services, svc)
		size += len(encoded) + 1
	}
	if size > 0 {
		if err := flush(); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

// appendPart appends a part to the configuration read so far.
func appendPart(cfg *conf.Config, part conf.Config) *conf.Config {
	services := append(cfg.Services, part.Services...)
	if cfg.Version == 0 {
		part.Services = services
		return &part
	}
	cfg.Services = services
	return cfg
}
