package harness

import (
	"context"
	"path/filepath"

	"peardrift/internal/adapter/awsobject"
	"peardrift/internal/adapter/awstable"
	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/adapter/yamlset"
	"peardrift/internal/apply"
)

// Apply submits the set in a folder of examples as an operator would.
func (f *Fleet) Apply(ctx context.Context, root, example string) error {
	set, err := yamlset.Load(filepath.Join(root, "examples", example))
	if err != nil {
		return err
	}
	cfg := awscall.DefaultConfig()
	cfg.Endpoint, cfg.AccessKey, cfg.SecretKey = f.URL, "bench", "bench"
	table, objects := awstable.New(cfg, "peardrift"), awsobject.New(cfg, "peardrift")
	defer table.Close()
	defer objects.Close()
	_, err = apply.New(table, objects, apply.DefaultConfig()).Apply(ctx, set, 0, "bench")
	return err
}
