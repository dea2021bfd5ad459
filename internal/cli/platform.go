package cli

import (
	"cmp"
	"strings"
	"time"

	"peardrift/internal/adapter/awsobject"
	"peardrift/internal/adapter/awstable"
	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/apply"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// platformFlags configure access to the platform. Precedence from high to low:
// flag, environment variable, file, default.
type platformFlags struct {
	File            string        `long:"platform" env:"PEARDRIFT_PLATFORM" value-name:"FILE" description:"YAML file with the key platform, as in the settings of a node"`
	TableEndpoint   string        `long:"table-endpoint" env:"PEARDRIFT_TABLE_ENDPOINT" value-name:"URL" description:"the table service"`
	Table           string        `long:"table" env:"PEARDRIFT_TABLE" value-name:"NAME" description:"the table (default: peardrift)"`
	ObjectsEndpoint string        `long:"objects-endpoint" env:"PEARDRIFT_OBJECTS_ENDPOINT" value-name:"URL" description:"the object store"`
	Bucket          string        `long:"bucket" env:"PEARDRIFT_BUCKET" value-name:"NAME" description:"the bucket (default: peardrift)"`
	Region          string        `long:"region" env:"PEARDRIFT_REGION" value-name:"NAME" description:"the region of both (default: local)"`
	AccessKey       string        `long:"access-key" env:"PEARDRIFT_ACCESS_KEY" value-name:"KEY" description:"the access key"`
	SecretKeyFile   string        `long:"secret-key-file" env:"PEARDRIFT_SECRET_KEY_FILE" value-name:"FILE" description:"file with the secret key; PEARDRIFT_SECRET_KEY holds the key itself. There is no flag for the key itself, since other users can read command lines"`
	CallTimeout     time.Duration `long:"call-timeout" value-name:"DURATION" description:"time limit of one call to the platform (default: 2s)"`
}

// flagByField maps a settings field of the platform to the flag that sets it.
var flagByField = map[string]string{
	"platform.table.endpoint":   "--table-endpoint",
	"platform.table.name":       "--table",
	"platform.table.region":     "--region",
	"platform.objects.endpoint": "--objects-endpoint",
	"platform.objects.bucket":   "--bucket",
	"platform.objects.region":   "--region",
	"platform.accessKey":        "--access-key",
	"platform.secretKey":        "--secret-key-file",
	"platform.secretKeyFile":    "--secret-key-file",
	"platform.timeout":          "--call-timeout",
}

// resolve merges flags, environment, file and defaults, and checks the result.
func (f *platformFlags) resolve() (settings.Platform, error) {
	p := settings.Default().Platform
	if f.File != "" {
		var err error
		if p, err = settings.LoadPlatform(f.File); err != nil {
			return p, err
		}
	}
	p.Table.Endpoint = cmp.Or(f.TableEndpoint, p.Table.Endpoint)
	p.Table.Name = cmp.Or(f.Table, p.Table.Name)
	p.Table.Region = cmp.Or(f.Region, p.Table.Region)
	p.Objects.Endpoint = cmp.Or(f.ObjectsEndpoint, p.Objects.Endpoint)
	p.Objects.Bucket = cmp.Or(f.Bucket, p.Objects.Bucket)
	p.Objects.Region = cmp.Or(f.Region, p.Objects.Region)
	p.Timeout = cmp.Or(f.CallTimeout, p.Timeout)
	if f.AccessKey != "" {
		p.AccessKey, p.AccessKeyFile = settings.Secret(f.AccessKey), ""
	}
	if f.SecretKeyFile != "" {
		p.SecretKey, p.SecretKeyFile = "", f.SecretKeyFile
	}
	if ps := p.Complete(); len(ps) > 0 {
		return p, invalidPlatformError(ps)
	}
	return p, nil
}

// invalidPlatformError returns an error that lists all problems of the platform
// settings and the flags that fix them.
func invalidPlatformError(ps []settings.Problem) error {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		line := p.String()
		if flag, ok := flagByField[p.Field]; ok {
			line += " (" + flag + ")"
		}
		lines = append(lines, line)
	}
	return status.New(status.CodeInvalidSettings, "%s", strings.Join(lines, "; "))
}

// OpenPlatform connects to the platform with the AWS clients; it implements
// Env.Open.
func OpenPlatform(p settings.Platform) (*apply.Store, func(), error) {
	cfg := awscall.DefaultConfig()
	cfg.Endpoint, cfg.Region = p.Table.Endpoint, p.Table.Region
	cfg.AccessKey, cfg.SecretKey = p.AccessKey.Reveal(), p.SecretKey.Reveal()
	cfg.Timeout = p.Timeout
	table := awstable.New(cfg, p.Table.Name)
	cfg.Endpoint, cfg.Region = p.Objects.Endpoint, p.Objects.Region
	objects := awsobject.New(cfg, p.Objects.Bucket)
	closeBoth := func() {
		table.Close()
		objects.Close()
	}
	return apply.New(table, objects, apply.DefaultConfig()), closeBoth, nil
}
