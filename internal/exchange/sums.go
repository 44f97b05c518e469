package exchange

import (
	"maps"

	"topazpulley/internal/slotqueue"
)

// sumsRecord is what waits for places of one service.
type sumsRecord struct {
	Service string `avro:"service"`
	InTime  int    `avro:"in_time"`
	Late    int    `avro:"late"`
	Freed   int    `avro:"freed"`
}

// addSums returns the sums of both by service, without those of nothing.
func addSums(one, other map[string]slotqueue.Stats) map[string]slotqueue.Stats {
	total := maps.Clone(one)
	if total == nil {
		total = map[string]slotqueue.Stats{}
	}
	for service, sums := range other {
		total[service] = total[service].Plus(sums)
	}
	return total
}

// sumsWithout takes a part out of sums by service, without those of nothing.
func sumsWithout(total, part map[string]slotqueue.Stats) map[string]slotqueue.Stats {
	left := make(map[string]slotqueue.Stats, len(total))
	for service, sums := range total {
		if rest := sums.Minus(part[service]); rest != (slotqueue.Stats{}) {
			left[service] = rest
		}
	}
	return left
}

func recordsOf(sums map[string]slotqueue.Stats) []sumsRecord {
	records := make([]sumsRecord, 0, len(sums))
	for service, each := range sums {
		records = append(records, sumsRecord{Service: service, InTime: each.OnTime, Late: each.Overdue, Freed: each.FreedSlots})
	}
	return records
}

// sumsOf returns sums by service; nil if none are told.
func sumsOf(records []sumsRecord) map[string]slotqueue.Stats {
	if len(records) == 0 {
		return nil
	}
	sums := make(map[string]slotqueue.Stats, len(records))
	for _, each := range records {
		sums[each.Service] = slotqueue.Stats{OnTime: each.InTime, Overdue: each.Late, FreedSlots: each.Freed}
	}
	return sums
}
