package settings

import (
	"os"
	"time"
)

// platformKey is the YAML key of the section Platform.
const platformKey = "platform"

// Platform locates the platform's table service and object store.
type Platform struct {
	Table   Table   `yaml:"table"`
	Objects Objects `yaml:"objects"`

	// AccessKey and SecretKey sign calls to the platform; required. Each is taken from
	// the settings file, else from the named key file, else from the environment
	// (PEARDRIFT_ACCESS_KEY, PEARDRIFT_SECRET_KEY).
	AccessKey Secret `yaml:"accessKey"`
	SecretKey Secret `yaml:"secretKey"`

	// AccessKeyFile and SecretKeyFile name files that hold the keys, so that the
	// settings file contains no secrets. Leading and trailing space is ignored.
	AccessKeyFile string `yaml:"accessKeyFile" validate:"max=4096"`
	SecretKeyFile string `yaml:"secretKeyFile" validate:"max=4096"`

	// Timeout bounds one call to the platform. Default 2s. Lower makes more writes
	// ambiguous, each of which needs a read to resolve; higher lets a slow platform
	// delay callers of at-most-once requests longer.
	Timeout time.Duration `yaml:"timeout" validate:"min=50ms,max=30s"`
}

// Table locates the transactional table service.
type Table struct {
	// Endpoint is the service's URL; required.
	Endpoint string `yaml:"endpoint" validate:"required,http_url"`
	// Region is the service's own region name, part of each call's signature.
	// Default "local".
	Region string `yaml:"region" validate:"required,max=64,printascii,excludesall= "`
	// Name is the table's name. Default "peardrift".
	Name string `yaml:"name" validate:"required,max=255,printascii,excludesall= "`
}

// Objects locates the object store.
type Objects struct {
	// Endpoint is the store's URL; required.
	Endpoint string `yaml:"endpoint" validate:"required,http_url"`
	// Region is the store's own region name, part of each call's signature.
	// Default "local".
	Region string `yaml:"region" validate:"required,max=64,printascii,excludesall= "`
	// Bucket is the bucket's name. Default "peardrift".
	Bucket string `yaml:"bucket" validate:"required,max=63,printascii,excludesall= "`
}

// Complete fills in the keys of p from their files and the environment, and returns all
// problems of p.
func (p *Platform) Complete() []Problem {
	ps := resolveKeys(p, os.Getenv)
	for _, v := range violations(p) {
		v.Field = platformKey + "." + v.Field
		ps = append(ps, v)
	}
	return ps
}
