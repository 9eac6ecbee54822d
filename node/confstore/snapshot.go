package confstore

import (
	"context"
	"encoding/json"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
)

// writeSnapshot stores a configuration in parts and returns their number. The
// parts' keys name the version, so that writing them twice does no harm.
func (s *Store) writeSnapshot(ctx context.Context, cfg *conf.Config) (int, error) {
	parts, err := split(cfg)
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

// split cuts a configuration into JSON parts of at most about maxPart bytes.
// Services are what grows; the rest goes into the first part.
func split(cfg *conf.Config) ([][]byte, error) {
	first := *cfg
	first.Services = nil
	head, err := json.Marshal(first)
	if err != nil {
		return nil, err
	}
	parts := [][]byte{head}
	part := conf.Config{Version: cfg.Version, ChangeID: cfg.ChangeID}
	size := 0
	flush := func() error {
		data, err := json.Marshal(part)
		parts = append(parts, data)
		part.Services, size = nil, 0
		return err
	}
	for _, svc := range cfg.Services {
		one, err := json.Marshal(svc)
		if err != nil {
			return nil, err
		}
		if size+len(one) > maxPart && size > 0 {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		part.Services = append(part.Services, svc)
		size += len(one) + 1
	}
	if size > 0 {
		if err := flush(); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

// appendPart joins a part to what was read before it.
func appendPart(cfg *conf.Config, part conf.Config) *conf.Config {
	services := append(cfg.Services, part.Services...)
	if cfg.Version == 0 {
		part.Services = services
		return &part
	}
	cfg.Services = services
	return cfg
}
