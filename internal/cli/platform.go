package cli

import (
	"cmp"
	"io"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"peardrift/internal/adapter/awsobject"
	"peardrift/internal/adapter/awstable"
	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/apply"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// platformFlags say where the platform is. A flag wins over its environment
// variable, that over the file, that over the default.
type platformFlags struct {
	File            string        `long:"platform" env:"PEARDRIFT_PLATFORM" value-name:"FILE" description:"YAML file with the key platform, as in the settings of a node"`
	TableEndpoint   string        `long:"table-endpoint" env:"PEARDRIFT_TABLE_ENDPOINT" value-name:"URL" description:"the table service"`
	Table           string        `long:"table" env:"PEARDRIFT_TABLE" value-name:"NAME" description:"the table (default: peardrift)"`
	ObjectsEndpoint string        `long:"objects-endpoint" env:"PEARDRIFT_OBJECTS_ENDPOINT" value-name:"URL" description:"the object store"`
	Bucket          string        `long:"bucket" env:"PEARDRIFT_BUCKET" value-name:"NAME" description:"the bucket (default: peardrift)"`
	Region          string        `long:"region" env:"PEARDRIFT_REGION" value-name:"NAME" description:"the region of both (default: local)"`
	AccessKey       string        `long:"access-key" env:"PEARDRIFT_ACCESS_KEY" value-name:"KEY" description:"the access key"`
	SecretKeyFile   string        `long:"secret-key-file" env:"PEARDRIFT_SECRET_KEY_FILE" value-name:"FILE" description:"file with the secret key; PEARDRIFT_SECRET_KEY holds the key itself. No flag takes it, as others can read command lines"`
	CallTimeout     time.Duration `long:"call-timeout" value-name:"DURATION" description:"bound of one call to the platform (default: 2s)"`
}

// platformFile is the part of a node's settings that the tool reads.
type platformFile struct {
	Platform settings.Platform `yaml:"platform"`
}

// maxPlatformFile bounds the file in bytes.
const maxPlatformFile = 1 << 20

// resolve merges flags, environment, file and defaults.
func (f *platformFlags) resolve() (settings.Platform, error) {
	p := settings.Default().Platform
	if f.File != "" {
		file := platformFile{Platform: p}
		body, err := readFile(f.File)
		if err != nil {
			return p, err
		}
		// Other keys are those of a node's settings, which the node checks.
		if err := yaml.Unmarshal(body, &file); err != nil {
			return p, status.Wrap(status.CodeInvalidSettings, err, "cannot read %s", f.File)
		}
		p = file.Platform
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
	return p, complete(&p)
}

// complete reads the keys and refuses a platform that can't be called.
func complete(p *settings.Platform) error {
	for _, k := range []struct {
		key       *settings.Secret
		file, env string
	}{
		{&p.AccessKey, p.AccessKeyFile, settings.EnvAccessKey},
		{&p.SecretKey, p.SecretKeyFile, settings.EnvSecretKey},
	} {
		if *k.key == "" && k.file != "" {
			body, err := readFile(k.file)
			if err != nil {
				return err
			}
			*k.key = settings.Secret(strings.TrimSpace(string(body)))
		}
		*k.key = cmp.Or(*k.key, settings.Secret(os.Getenv(k.env)))
	}
	for _, need := range []struct{ name, value string }{
		{"the table endpoint (--table-endpoint)", p.Table.Endpoint},
		{"the objects endpoint (--objects-endpoint)", p.Objects.Endpoint},
		{"the access key (--access-key)", p.AccessKey.Reveal()},
		{"the secret key (--secret-key-file or " + settings.EnvSecretKey + ")", p.SecretKey.Reveal()},
	} {
		if need.value == "" {
			return status.New(status.CodeInvalidSettings, "%s is missing", need.name)
		}
	}
	return nil
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, status.Wrap(status.CodeInvalidSettings, err, "cannot read a file of settings")
	}
	defer f.Close()
	body, err := io.ReadAll(io.LimitReader(f, maxPlatformFile+1))
	if err != nil {
		return nil, status.Wrap(status.CodeInvalidSettings, err, "cannot read %s", path)
	}
	if len(body) > maxPlatformFile {
		return nil, status.New(status.CodeInvalidSettings, "%s is longer than %d bytes", path, maxPlatformFile)
	}
	return body, nil
}

// OpenPlatform connects to the platform by the official clients; for Env.Open.
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
