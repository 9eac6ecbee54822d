package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// Service is a Consul service instance: Name is set in registrations, Service in
// listings.
type Service struct {
	ID      string
	Name    string `json:"Name,omitempty"`
	Service string `json:"Service,omitempty"`
	Address string
	Port    int
	Meta    map[string]string
}

// registration is one change to the service list.
type registration struct {
	service    Service
	recordedAt time.Time
	removed    bool
}

type healthEntry struct {
	Service Service
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var svc Service
	if err := json.NewDecoder(r.Body).Decode(&svc); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	svc.Service, svc.Name = svc.Name, ""
	s.record(registration{service: svc, recordedAt: time.Now()})
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	s.record(registration{service: Service{ID: r.PathValue("id")}, recordedAt: time.Now(), removed: true})
}

func (s *Server) record(reg registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services = append(s.services, reg)
}

// listHealth lists the registered instances as of listLag ago.
func (s *Server) listHealth(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []healthEntry{}
	for _, reg := range s.services {
		if time.Since(reg.recordedAt) < s.listLag {
			break
		}
		list = slices.DeleteFunc(list, func(e healthEntry) bool { return e.Service.ID == reg.service.ID })
		if !reg.removed && reg.service.Service == name {
			list = append(list, healthEntry{Service: reg.service})
		}
	}
	writeJSON(w, list)
}
