package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// Service is Consul's form of a registered process.
type Service struct {
	ID      string
	Name    string `json:"Name,omitempty"`
	Service string `json:"Service,omitempty"`
	Address string
	Port    int
	Meta    map[string]string
}

// registration is a change to the list, visible after a lag.
type registration struct {
	service Service
	at      time.Time
	gone    bool
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
	s.record(registration{service: svc, at: time.Now()})
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	s.record(registration{service: Service{ID: r.PathValue("id")}, at: time.Now(), gone: true})
}

func (s *Server) record(reg registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services = append(s.services, reg)
}

// health lists the registered processes as they were before the lag.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []healthEntry{}
	for _, reg := range s.services {
		if time.Since(reg.at) < s.listLag {
			break
		}
		list = slices.DeleteFunc(list, func(e healthEntry) bool { return e.Service.ID == reg.service.ID })
		if !reg.gone && reg.service.Service == name {
			list = append(list, healthEntry{Service: reg.service})
		}
	}
	writeJSON(w, list)
}
