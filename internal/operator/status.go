package operator

// Status is the response to GET /status: the state of one control process and its view of the system.
type Status struct {
	Node        string    `json:"node"`
	Identity    string    `json:"identity"` // ID of its store
	Role        string    `json:"role"`     // chain role, such as head or tail
	Fresh       bool      `json:"fresh"`    // its view was confirmed recently, so that its data is up to date
	View        View      `json:"view"`
	Position    uint64    `json:"position"`  // of the last log entry
	Committed   uint64    `json:"committed"` // position of the last committed log entry
	DiskTooSlow bool      `json:"impaired"`  // its disk is too slow
	WriteFailed bool      `json:"failed"`    // its last write failed
	Generation  uint64    `json:"generation"`
	Evacuated   []string  `json:"evacuated"`
	Members     []Member  `json:"members"`
	Services    []Service `json:"services"`
	Subscribers int       `json:"followers"` // number of relays that subscribe to this process
}

// View is a membership of the control processes, by name: those that vote on the next view, and those that form the replication
// chain, from head to tail.
type View struct {
	Epoch  uint64   `json:"epoch"`
	Voters []string `json:"voters"`
	Chain  []string `json:"chain"`
}

// Member is a process of the system: a relay or a control process.
type Member struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	Address       string `json:"address"`
	Status        string `json:"status"`
	Serving       bool   `json:"serving"`
	ClientAddress string `json:"front,omitempty"`   // address where a relay serves clients
	APIAddress    string `json:"control,omitempty"` // address where a control process serves its API
}

// Service holds the numbers of endpoints of a service by state.
type Service struct {
	Name     string `json:"name"`
	Ready    int    `json:"ready"`
	Draining int    `json:"draining"`
	Silent   int    `json:"silent"`
	Gone     int    `json:"gone"`
	Cold     int    `json:"cold"` // included in Ready
}
