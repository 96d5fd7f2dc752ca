// The form of an operator's configuration. What refers to other parts of it is checked in Go, see config.Check.

#Config: {
	revision: int & >0
	routes: [...#Route]
	services: [...#Service]
	limits:   #Limits
	tenants?: [...#Tenant]
	...
}

#Route: {
	name:          string & !=""
	hostname:      string & !=""
	path_prefix:   =~"^/(.*/)?$"
	route_type:    "idempotent" | "unsafe" | "streaming"
	timeout_ms:    number & >0
	target_ms?:    number & >=0
	priority?:     int
	backend?:      string
	max_attempts?: int & >=0
	public?:       bool
	sticky?:       bool
	resumable?:    bool
	gap_aim_ms?:   number & >=0
	traffic_split?: [...{
		backend: string
		weight:  number & >=0
		...
	}]
	...
}

#Service: {
	name:         string & !=""
	health_path?: string
	max_conns?:   int & >=0
	...
}

#Limits: {
	max_header_bytes?:  int & >=0
	max_body_bytes?:    int & >=0
	header_timeout_ms?: number & >=0
	idle_timeout_ms?:   number & >=0
	...
}

#Tenant: {
	name: string & !=""
	api_keys: [...string]
	priority?:     int | null
	unit?:         string
	plain_tokens?: number & >=0
	rate_per_s?:   number & >=0
	burst?:        number & >=0
	...
}
