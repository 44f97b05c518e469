package exchange

import (
	"maps"

	"topazpulley/internal/waiting"
)

// sumsRecord is what waits for places of one service.
type sumsRecord struct {
	Service string `avro:"service"`
	InTime  int    `avro:"in_time"`
	Late    int    `avro:"late"`
	Freed   int    `avro:"freed"`
}

// addSums returns the sums of both by service, without those of nothing.
func addSums(one, other map[string]waiting.Sums) map[string]waiting.Sums {
	total := maps.Clone(one)
	if total == nil {
		total = map[string]waiting.Sums{}
	}
	for service, sums := range other {
		total[service] = total[service].Add(sums)
	}
	return total
}

// sumsWithout takes a part out of sums by service, without those of nothing.
func sumsWithout(total, part map[string]waiting.Sums) map[string]waiting.Sums {
	left := make(map[string]waiting.Sums, len(total))
	for service, sums := range total {
		if rest := sums.Without(part[service]); rest != (waiting.Sums{}) {
			left[service] = rest
		}
	}
	return left
}

func recordsOf(sums map[string]waiting.Sums) []sumsRecord {
	records := make([]sumsRecord, 0, len(sums))
	for service, each := range sums {
		records = append(records, sumsRecord{Service: service, InTime: each.InTime, Late: each.Late, Freed: each.Freed})
	}
	return records
}

// sumsOf returns sums by service; nil if none are told.
func sumsOf(records []sumsRecord) map[string]waiting.Sums {
	if len(records) == 0 {
		return nil
	}
	sums := make(map[string]waiting.Sums, len(records))
	for _, each := range records {
		sums[each.Service] = waiting.Sums{InTime: each.InTime, Late: each.Late, Freed: each.Freed}
	}
	return sums
}
