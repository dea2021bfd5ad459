package main

type obj = map[string]any

func service(name string) obj {
	return obj{"name": name, "health_path": "/healthz", "max_connections": 988, "protocol": "h1", "tls": false}
}

func route(name, prefix, kind, service string, timeoutMS int) obj {
	return obj{"name": name, "prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 1200, "priority": 1, "service": service, "max_attempts": 2}
}

// config returns an operator's configuration with one host.
func config(version int, host string, services []obj, routes []obj) obj {
	return obj{
		"version": version, "services": services,
		"limits":        obj{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"virtual_hosts": []obj{{"host": host, "paths": routes}},
	}
}

const host = "hulo84.example"

// stdConfig has routes to two services.
func stdConfig() obj {
	return config(7, host, []obj{service("read"), service("pay")}, []obj{
		route("r-read", "/read/", "safe", "read", 5000),
		route("r-pay", "/pay/", "unsafe", "pay", 5000),
		route("r-up", "/up/", "upload", "pay", 5000),
	})
}
