package harness

import (
	"peardrift/bench/deploy"
	"peardrift/internal/status"
)

// AddDirect adds the targets of a deployment without nodes. They call one
// another, and the direct targets of deployments added before, in round-robin
// order. They are the baseline against which the cost of the nodes is measured in
// the same run.
func (f *Fleet) AddDirect(d deploy.Deployment) error {
	var hosts []*Host
	urls := make(map[string][]string)
	for _, h := range f.Direct { // other tenants' targets may be called too
		urls[h.Service] = append(urls[h.Service], "http://"+h.Addr.Target)
	}
	for _, s := range d.Services {
		for i := range s.Targets {
			name, zone := d.Instance(s, i)
			h := &Host{Name: "direct-" + name, Zone: zone, Service: d.FullName(s)}
			var err error
			if h.Addr.Target, err = f.ports.reserve(); err != nil {
				return err
			}
			urls[h.Service] = append(urls[h.Service], "http://"+h.Addr.Target)
			hosts = append(hosts, h)
		}
	}
	i := 0
	for _, s := range d.Services {
		for range s.Targets {
			if err := f.planTarget(hosts[i], s, urls); err != nil {
				return err
			}
			i++
		}
	}
	f.Direct = append(f.Direct, hosts...)
	return nil
}

// DirectURLs returns the URLs of a service's targets without nodes.
func (f *Fleet) DirectURLs(service string) []string {
	var urls []string
	for _, h := range f.Direct {
		if h.Service == service {
			urls = append(urls, "http://"+h.Addr.Target)
		}
	}
	return urls
}

func (f *Fleet) startDirect() error {
	for _, h := range f.Direct {
		if err := f.StartTarget(h); err != nil {
			return err
		}
	}
	for _, h := range f.Direct {
		if err := f.WaitUntil(startTimeout, func() bool { return status2xx("http://" + h.Addr.Target + "/healthz") }); err != nil {
			return status.Wrap(CodeHarness, err, "%s does not answer, see %s", h.Name, h.Target.Log)
		}
	}
	return nil
}
