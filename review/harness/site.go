package harness

import "time"

// Groups is the number of database groups of both sites, of three members each.
const Groups = 3

// replicationLag is how long replicas are behind.
const replicationLag = 20 * time.Millisecond

// Site holds the figures of a small deployment, from its sheet and its site file.
type Site struct {
	// hostZones has the zone of each host, memberZones that of each member of a group.
	hostZones, memberZones []string
	regions                map[string]string
	slots, connections     int
	promotionTime          time.Duration
	maxFDs                 int

	contactMS, ackMS, configApplyMS, maxStretchMS int
}

// PrairieArchive is sites/pvsso-obs.toml.
var PrairieArchive = Site{
	hostZones: []string{
		"regina-hall", "regina-hall", "regina-hall", "regina-hall",
		"calgary-hall", "calgary-hall", "calgary-hall",
		"winnipeg-hall", "winnipeg-hall",
	},
	memberZones: []string{"regina-hall", "calgary-hall", "winnipeg-hall"},
	regions:     map[string]string{"regina-hall": "sask", "calgary-hall": "alta", "winnipeg-hall": "mani"},
	slots:       2, connections: 16, promotionTime: 300 * time.Millisecond, maxFDs: 4200,
	contactMS: 4000, ackMS: 5000, configApplyMS: 3000, maxStretchMS: 12000,
}

// NotaryBooking is sites/rdv-notarial.toml.
var NotaryBooking = Site{
	hostZones: []string{
		"qc-ste-foy", "qc-ste-foy", "qc-ste-foy",
		"mtl-anjou", "mtl-anjou",
		"estrie-sherb", "estrie-sherb",
	},
	memberZones: []string{"qc-ste-foy", "mtl-anjou", "estrie-sherb"},
	regions:     map[string]string{"qc-ste-foy": "qc-capitale", "mtl-anjou": "mtl", "estrie-sherb": "estrie"},
	slots:       5, connections: 55, promotionTime: 600 * time.Millisecond, maxFDs: 4300,
	contactMS: 5000, ackMS: 6000, configApplyMS: 4000, maxStretchMS: 15000,
}
