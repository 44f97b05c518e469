package job

import "topazpulley/internal/table"

// Followed returns the version up to which the service has heard of claims.
func (s *Service) Followed() table.Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.followed
}
