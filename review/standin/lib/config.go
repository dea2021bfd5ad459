package lib

// Route is a route of a configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMS                         int
}

// Config returns a configuration as the operator writes it.
func Config(version int, services []string, routes []Route) map[string]any {
	var ss, hosts []map[string]any
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 988, "protocol": "h1", "tls": false})
	}
	byHost := map[string][]map[string]any{}
	var order []string
	for _, r := range routes {
		if _, ok := byHost[r.Host]; !ok {
			order = append(order, r.Host)
		}
		t := r.TimeoutMS
		if t == 0 {
			t = 5000
		}
		byHost[r.Host] = append(byHost[r.Host], map[string]any{
			"name": r.Name, "prefix": r.Prefix, "kind": r.Kind, "timeout_ms": t, "target_latency_ms": 1200,
			"priority": 1, "service": r.Service, "max_attempts": 2,
		})
	}
	for _, h := range order {
		hosts = append(hosts, map[string]any{"host": h, "paths": byHost[h]})
	}
	return map[string]any{
		"version": version, "services": ss, "virtual_hosts": hosts,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
