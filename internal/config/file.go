package config

// file has the structure of the settings file. A nil pointer means that the key is missing.
type file struct {
	Node     *string     `toml:"node"`
	Location *string     `toml:"location"`
	Bind     *string     `toml:"bind"`
	PeerBind *string     `toml:"peer_bind"`
	Seeds    []filePeer  `toml:"seeds"`
	Outside  fileOutside `toml:"outside"`
	Cluster  fileCluster `toml:"cluster"`
}

type filePeer struct {
	Node     string `toml:"node"`
	Location string `toml:"location"`
	Endpoint string `toml:"endpoint"`
}

type fileOutside struct {
	Cloud *string `toml:"cloud"`
	State *string `toml:"state"`
}

type fileCluster struct {
	Size       *int64          `toml:"size"`
	Zones      []string        `toml:"zones"`
	Teams      []fileTeam      `toml:"teams"`
	Objectives []fileObjective `toml:"objectives"`
	Workers    fileWorkers     `toml:"workers"`
	State      fileState       `toml:"state"`
	Cloud      fileCloud       `toml:"cloud"`
	Limits     fileLimits      `toml:"machine_limits"`
}

type fileTeam struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

type fileObjective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// fileState holds the current limits of the key-value store and, in Next, the announced
// limits, any of which may be missing.
type fileState struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int64   `toml:"txn_ops"`
	Next     struct {
		RPS      *float64 `toml:"rps"`
		WriteRPS *float64 `toml:"write_rps"`
		ValueKB  *float64 `toml:"value_kb"`
		TxnOps   *int64   `toml:"txn_ops"`
	} `toml:"next"`
}

type fileCloud struct {
	RPS      *float64 `toml:"rps"`
	ListLagS *float64 `toml:"list_lag_s"`
}

type fileWorkers struct {
	ReportS *float64 `toml:"report_s"`
	LeaseS  *float64 `toml:"lease_s"`
	CancelS *float64 `toml:"cancel_s"`
}

type fileLimits struct {
	CoreShare      *float64 `toml:"core_share"`
	RAMMB          *float64 `toml:"ram_mb"`
	MaxConnections *int64   `toml:"max_connections"`
}
