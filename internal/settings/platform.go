package settings

import (
	"os"
	"time"
)

// platformKey is the key of the section Platform.
const platformKey = "platform"

// Platform says where the platform's table service and object store are.
type Platform struct {
	Table   Table   `yaml:"table"`
	Objects Objects `yaml:"objects"`

	// AccessKey and SecretKey sign calls to the platform. Each is looked for
	// in the file of settings itself, then in the named file, then in the
	// environment (PEARDRIFT_ACCESS_KEY, PEARDRIFT_SECRET_KEY); required.
	AccessKey Secret `yaml:"accessKey"`
	SecretKey Secret `yaml:"secretKey"`

	// AccessKeyFile and SecretKeyFile name files that hold the keys, so that
	// the settings can be shown around. Space around the key is ignored.
	AccessKeyFile string `yaml:"accessKeyFile" validate:"max=4096"`
	SecretKeyFile string `yaml:"secretKeyFile" validate:"max=4096"`

	// Timeout bounds one call to the platform. Default 2s. Lower leaves more
	// writes with a lost answer, each to be settled by a read; higher lets a
	// slow platform hold callers of at-most-once requests longer.
	Timeout time.Duration `yaml:"timeout" validate:"min=50ms,max=30s"`
}

// Table says where the transactional table service is.
type Table struct {
	// Endpoint is the service's URL; required.
	Endpoint string `yaml:"endpoint" validate:"required,http_url"`
	// Region is the service's own region name, part of each call's signature.
	// Default "local".
	Region string `yaml:"region" validate:"required,max=64,printascii,excludesall= "`
	// Name is the table's name. Default "peardrift".
	Name string `yaml:"name" validate:"required,max=255,printascii,excludesall= "`
}

// Objects says where the object store is.
type Objects struct {
	// Endpoint is the store's URL; required.
	Endpoint string `yaml:"endpoint" validate:"required,http_url"`
	// Region is the store's own region name, part of each call's signature.
	// Default "local".
	Region string `yaml:"region" validate:"required,max=64,printascii,excludesall= "`
	// Bucket is the bucket's name. Default "peardrift".
	Bucket string `yaml:"bucket" validate:"required,max=63,printascii,excludesall= "`
}

// Complete fills in the keys of p from their files and the environment, and
// returns all that is wrong with p.
func (p *Platform) Complete() []Problem {
	ps := resolveKeys(p, os.Getenv)
	for _, v := range violations(p) {
		v.Field = platformKey + "." + v.Field
		ps = append(ps, v)
	}
	return ps
}
